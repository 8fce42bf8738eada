/** Bundles the gateway into a single file, which starts much faster than its separate modules. */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/ragwortcleat.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  mainFields: ["module", "main"],
  minifySyntax: true,
  minifyWhitespace: true,
  // Bundled CommonJS libraries use `require` to load Node's built-in modules.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
