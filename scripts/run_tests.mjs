/**
 * Runs the tests and prints a closing line. Failures that KNOWN-RED.txt lists by title are printed and
 * passed over; any other failure, and a listed test that no longer fails, makes the run fail.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

const KNOWN_RED = "KNOWN-RED.txt";
const TITLE_PREFIX = "test: ";

function knownTitles() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const lines = readFileSync(KNOWN_RED, "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith(TITLE_PREFIX)).map((line) =>
      line.slice(TITLE_PREFIX.length).trim()
    ),
  );
}

const known = knownTitles();
const child = spawn("npx", ["ava", "--tap", ...process.argv.slice(2)], {
  stdio: ["ignore", "pipe", "inherit"],
});
const counts = { passed: 0, red: 0, failed: 0 };
let inFailure = false;
createInterface({ input: child.stdout }).on("line", (line) => {
  const match = /^(not ok|ok) \d+ - (.*)$/.exec(line);
  if (match === null) {
    if (inFailure && line.startsWith("  ")) console.log(line);
    return;
  }
  const [, verdict, title] = match;
  const isKnown = known.has(title);
  inFailure = verdict === "not ok";
  if (verdict === "ok" && !isKnown) counts.passed += 1;
  else if (verdict === "not ok" && isKnown) counts.red += 1;
  else counts.failed += 1;
  if (verdict === "ok" && isKnown) console.log(`listed in ${KNOWN_RED} but passes: ${title}`);
  if (verdict === "not ok") console.log(`${isKnown ? "known red" : "FAILED"}: ${title}`);
});
child.on("close", (code) => {
  const { passed, red, failed } = counts;
  if (red > 0) console.log(`${red} known failures, see ${KNOWN_RED}`);
  console.log(`tests: ${passed} passed, ${failed} failed`);
  const isClean = failed === 0 && passed > 0 && (code === 0 || red > 0);
  process.exit(isClean ? 0 : 1);
});
