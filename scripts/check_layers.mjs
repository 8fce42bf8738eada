/**
 * Checks that modules import only from their own layer or a lower one, that common/ does not use Node
 * APIs, and that src/ neither imports the adapter nor uses the platform's names.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import process from "node:process";

/** Layers from lowest to highest. A layer may import only from itself and lower ones. */
const LAYERS = [
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
/** Names that are specific to the users' platform, which only the adapter may use. */
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

const layerOf = (path) => path.split("/")[1];
const violations = [];
let files = 0;
for (const path of walk("src")) {
  files += 1;
  const text = readFileSync(path, "utf8");
  const platformName = PLATFORM_NAMES.exec(text);
  if (platformName !== null) violations.push(`${path}: ${platformName[0]} is a platform-specific name`);
  const isTest = path.endsWith("_test.ts");
  const isCommon = path.includes("/common/");
  for (const [, target] of text.matchAll(IMPORT)) {
    if (isCommon && !isTest && target.startsWith("node:")) {
      violations.push(`${path}: common code imports ${target}`);
    }
    if (!target.startsWith(".")) continue;
    const resolved = normalize(join(dirname(path), target));
    if (isTest && resolved.startsWith("test/")) continue;
    if (!resolved.startsWith("src/")) violations.push(`${path}: imports ${resolved} outside src`);
    else if (LAYERS.indexOf(layerOf(resolved)) > LAYERS.indexOf(layerOf(path))) {
      violations.push(`${path}: imports ${resolved} from a higher layer`);
    }
    if (isCommon && !isTest && resolved.includes("/node/")) {
      violations.push(`${path}: common code imports ${resolved}`);
    }
  }
}
violations.forEach((violation) => console.error(violation));
console.log(`layers: ${files} files, ${violations.length} violations`);
process.exit(violations.length === 0 ? 0 : 1);
