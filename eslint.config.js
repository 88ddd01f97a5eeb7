import tseslint from "typescript-eslint";

const naming = [
    { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
    { selector: "enumMember", format: ["PascalCase"] },
    {
        selector: ["function", "parameter", "classMethod", "classProperty"],
        format: ["camelCase"],
        leadingUnderscore: "forbid",
    },
    { selector: "variable", format: ["camelCase"], leadingUnderscore: "forbid" },
    {
        selector: "variable",
        modifiers: ["const", "global"],
        format: ["camelCase", "PascalCase", "UPPER_CASE"],
        leadingUnderscore: "forbid",
    },
    { selector: "classProperty", modifiers: ["static", "readonly"], format: ["camelCase", "UPPER_CASE"] },
];

/** Layers import inward only: common knows nothing of its hosts. */
const inward = (patterns, message) => ["error", { patterns: [{ group: patterns, message }] }];

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "use undefined, not null" }],
            "prefer-arrow-callback": "error",
            "max-lines": ["error", 450],
            "max-depth": ["error", 4],
            "@typescript-eslint/naming-convention": ["error", ...naming],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
        },
    },
    {
        files: ["src/common/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": inward([
                "node:*",
                "**/node/**",
                "**/cli/**",
                "**/addons/**",
                "**/platform/**",
                "undici",
                "moleculer*",
            ], "src/common runs on any host"),
        },
    },
    {
        files: ["src/node/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": inward(
                ["**/cli/**", "**/addons/**", "**/platform/**"],
                "src/node is imported by src/cli, platform and addons, never the other way",
            ),
        },
    },
);
