import tseslint from "typescript-eslint";

// One direction of imports: kernel <- control, entry, agent, operator, standins <- wiring <- programs.
const parts = ["control", "entry", "agent", "operator", "standins"];
function forbid(names) {
    return {
        "no-restricted-imports": ["error", {
            patterns: names.map(name => ({ group: [`**/${name}/**`], message: `This part may not import ${name}.` })),
        }],
    };
}
const layering = [
    { files: ["src/kernel/**/*.ts"], rules: forbid([...parts, "programs"]) },
    ...parts.map(part => ({
        files: [`src/${part}/**/*.ts`],
        rules: forbid([...parts.filter(other => other !== part), "programs"]),
    })),
];

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "multi-line"],
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "no-console": "error",
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
        },
    },
    { files: ["src/programs/**/*.ts", "bench/**/*.ts", "src/operator/**/*.ts"], rules: { "no-console": "off" } },
    { files: ["test/**/*.ts"], rules: { "@typescript-eslint/no-floating-promises": "off" } },
    ...layering,
);
