/**
 * Builds the executable: bundles the program into one CommonJS file and injects it into a copy of the Node.js binary.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";

const OUT = process.argv[2] ?? "dist";
const BUNDLE = join(OUT, "skylarktide.cjs");
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

mkdirSync(OUT, { recursive: true });
await build({
    entryPoints: ["platform/Main.ts"],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node24",
    external,
    minify: true,
    keepNames: true,
    logLevel: "error",
});
const seaConfig = join(OUT, "sea.json");
writeFileSync(
    seaConfig,
    JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }),
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
