/**
 * Builds the executable: bundles the program into CommonJS files and injects them into a copy of the Node.js binary. The
 * command line is a bundle of its own, so that a gateway process doesn't hold it in memory.
 */
import { build, type BuildOptions, type Plugin } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";

const OUT = process.argv[2] ?? "dist";
const BUNDLE = join(OUT, "skylarktide.cjs");
const COMMAND_LINE_BUNDLE = join(OUT, "command-line.cjs");
/** Name under which the executable holds the bundle of the command line. */
const COMMAND_LINE_ASSET = "command-line.cjs";
const BLOB = join(OUT, "skylarktide.blob");
const BINARY = join(OUT, "skylarktide");
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Modules that libraries load optionally (transports, serializers, probes) and the program does not use. */
const external = [
    "kafka-node",
    "thrift",
    "avsc",
    "protobufjs",
    "dtrace-provider",
    "mv",
    "source-map-support",
    "./src/build/*",
];

/** Replaces the import of the command line by code that compiles its bundle when it runs. */
const commandLineAsset: Plugin = {
    name: "command-line-asset",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /\/cli\/Main\.ts$/ }, ({ path }) => ({ path, namespace: "asset" }));
        onLoad({ filter: /.*/, namespace: "asset" }, () => ({
            contents: `
                const Module = require("node:module");
                const { getAsset } = require("node:sea");
                const name = ${JSON.stringify(COMMAND_LINE_ASSET)};
                new Module(name)._compile(getAsset(name, "utf8"), name);
            `,
        }));
    },
};

const shared: BuildOptions = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    external,
    minify: true,
    keepNames: true,
    logLevel: "error",
};

mkdirSync(OUT, { recursive: true });
await build({ ...shared, entryPoints: ["platform/Main.ts"], outfile: BUNDLE, plugins: [commandLineAsset] });
await build({ ...shared, entryPoints: ["src/cli/Main.ts"], outfile: COMMAND_LINE_BUNDLE });
const seaConfig = join(OUT, "sea.json");
writeFileSync(
    seaConfig,
    JSON.stringify({
        main: BUNDLE,
        output: BLOB,
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
        assets: { [COMMAND_LINE_ASSET]: COMMAND_LINE_BUNDLE },
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", seaConfig], { stdio: "pipe" });
// A running executable can't be overwritten, but its file can be replaced.
const next = `${BINARY}.next`;
copyFileSync(process.execPath, next);
const postject = createRequire(import.meta.url).resolve("postject/dist/cli.js");
execFileSync(process.execPath, [postject, next, "NODE_SEA_BLOB", BLOB, "--sentinel-fuse", SEA_FUSE], {
    stdio: "pipe",
});
chmodSync(next, 0o755);
renameSync(next, BINARY);
console.log(`built ${BINARY}`);
