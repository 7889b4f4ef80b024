import tseslint from "typescript-eslint";

// Imports go in one direction: kernel <- control, entry, agent, operator, standins <- wiring <- programs.
// The components in the middle do not import each other.
const components = ["control", "entry", "agent", "operator", "standins"];
function forbidImports(directories) {
    return {
        "no-restricted-imports": ["error", {
            patterns: directories.map(directory => ({ group: [`**/${directory}/**`], message: `Files here may not import ${directory}.` })),
        }],
    };
}
const layerRules = [
    { files: ["src/kernel/**/*.ts"], rules: forbidImports([...components, "programs"]) },
    ...components.map(component => ({
        files: [`src/${component}/**/*.ts`],
        rules: forbidImports([...components.filter(other => other !== component), "programs"]),
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
    ...layerRules,
);
