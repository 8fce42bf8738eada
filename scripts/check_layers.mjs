/**
 * Checks that imports point downwards through the layers, that common/ is free of Node APIs, and that
 * nothing in src/ knows the adapter or its platform's names.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import process from "node:process";

/** Layers from the lowest up; features of one layer may import each other only in this order. */
const ORDER = [
  "base",
  "services",
  "membership",
  "program",
  "turns",
  "routing",
  "call",
  "placement",
  "peer",
  "entry",
  "daemon",
  "cli",
];
/** Names of the users' platform, which only the adapter may know. */
const PLATFORM_NAMES =
  /\blog-(append|read|newest|join|leave|commit|owners|trim)\b|\bkeyed\.(op|servers)\b|\b(KeepContext|RetainS|PathPrefix)\b|Ragwortcleat-[A-Z]/;
const IMPORT = /(?:from|import)\s*\(?\s*"([^"]+)"/g;

function* walk(dir) {
  for (const entry of readdirSync(dir, { withFileTypes: true })) {
    const path = join(dir, entry.name);
    if (entry.isDirectory()) yield* walk(path);
    else if (path.endsWith(".ts")) yield path;
  }
}

const featureOf = (path) => path.split("/")[1];
const faults = [];
let files = 0;
for (const path of walk("src")) {
  files += 1;
  const text = readFileSync(path, "utf8");
  const foreign = PLATFORM_NAMES.exec(text);
  if (foreign !== null) faults.push(`${path}: ${foreign[0]} is a name of the platform`);
  const isTest = path.endsWith("_test.ts");
  const isCommon = path.includes("/common/");
  for (const [, target] of text.matchAll(IMPORT)) {
    if (isCommon && !isTest && target.startsWith("node:")) {
      faults.push(`${path}: common code imports ${target}`);
    }
    if (!target.startsWith(".")) continue;
    const resolved = normalize(join(dirname(path), target));
    if (isTest && resolved.startsWith("test/")) continue;
    if (!resolved.startsWith("src/")) faults.push(`${path}: imports ${resolved} outside src`);
    else if (ORDER.indexOf(featureOf(resolved)) > ORDER.indexOf(featureOf(path))) {
      faults.push(`${path}: imports ${resolved} upwards`);
    }
    if (isCommon && !isTest && resolved.includes("/node/")) {
      faults.push(`${path}: common code imports ${resolved}`);
    }
  }
}
faults.forEach((fault) => console.error(fault));
console.log(`layers: ${files} files, ${faults.length} faults`);
process.exit(faults.length === 0 ? 0 : 1);
