/**
 * Bundles the gateway into a single script, which starts much faster than its separate modules, and stores V8's
 * compiled code beside it. `ragwortcleat.mjs` runs the script. Usage: `bundle.mjs [DIRECTORY]`.
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { builtinModules } from "node:module";
import { join } from "node:path";
import process from "node:process";
import { build } from "esbuild";

/** V8 rejects compiled code that was written with other flags. Those of the start command in `deploy/system.toml`. */
const NODE_FLAGS = ["--max-old-space-size=120", "--max-semi-space-size=8"];
const WARM_UP_TIMEOUT_MS = 60_000;
/** Modules of Node that are loaded when they are first used: the gateway loads, but rarely uses, what requires them. */
const LAZY_BUILTINS = new Set(["http2", "https", "zlib"]);
const dir = process.argv[2] ?? "target";

/** Loads Node's modules by `require`, as a script has no imports. */
const requireBuiltins = {
  name: "require-builtins",
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^(node:)?[a-z0-9_/]+$/ }, ({ path, kind }) => {
      const name = path.replace(/^node:/, "");
      if (!builtinModules.includes(name)) return undefined;
      return kind === "require-call" ? { path: name, external: true } : { path: name, namespace: "builtin" };
    });
    onLoad({ filter: /.*/, namespace: "builtin" }, async ({ path: name }) => {
      if (!LAZY_BUILTINS.has(name)) return { contents: `module.exports = require("${name}");` };
      const exported = Object.keys(await import(`node:${name}`)).filter((key) => key !== "default");
      const getters = exported.map((key) => `get ${key}() { return require("${name}").${key}; }`);
      return { contents: `module.exports = { ${getters.join(", ")} };` };
    });
  },
};

/** Leaves out the parts of the histogram package that write logs and use WebAssembly; they are slow to load. */
const omitHistogramLogs = {
  name: "omit-histogram-logs",
  setup({ onResolve, onLoad }) {
    onResolve(
      { filter: /^\.\/wasm$/ },
      ({ importer }) =>
        importer.includes("hdr-histogram-js") ? { path: "wasm", namespace: "omitted" } : undefined,
    );
    onLoad({ filter: /.*/, namespace: "omitted" }, () => ({ contents: "" }));
  },
};

await build({
  entryPoints: ["platform/main.ts"],
  outfile: join(dir, "gateway.js"),
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  mainFields: ["module", "main"],
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { "hdr-histogram-js": "hdr-histogram-js/dist/HistogramBuilder.js" },
  plugins: [requireBuiltins, omitHistogramLogs],
  banner: { js: `(async (require) => { "use strict";` },
  footer: { js: "})" },
});
copyFileSync("platform/loader.mjs", join(dir, "ragwortcleat.mjs"));

// Without compiled code the gateway only starts more slowly.
const cachePath = join(dir, "gateway.cache");
rmSync(cachePath, { force: true });
const { status } = spawnSync(process.execPath, [...NODE_FLAGS, "platform/write_code_cache.mjs", dir], {
  stdio: ["ignore", "ignore", "inherit"],
  timeout: WARM_UP_TIMEOUT_MS,
});
if (status !== 0) console.error("no compiled code was written");
