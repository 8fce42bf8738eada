/** Runs only the proof tests and prints the result of each, grouped by the guarantee that it covers. */
import { spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

const GUARANTEES = [
  "end to end, compared with a naive scheduler",
  "calls of a program run in order",
  "a history is never lost or mixed with another",
  "a budget is never exceeded",
  "ended programs hold no engine memory",
  "every caller gets the complete response to its own request",
  "a request refused as not run has not run",
  "non-repeatable requests run at most once",
  "a draining backend server gets no new requests",
  "a graceful shutdown interrupts no request",
  "an accepted configuration takes effect on all instances and is never reverted",
  "fault handling: crashing requests, unresponsive connections, fencing, hanging tools",
];

const optionIndex = process.argv.indexOf("--point");
const requested = optionIndex < 0 ? undefined : Number(process.argv[optionIndex + 1]);
if (requested !== undefined && GUARANTEES[requested] === undefined) {
  console.error(`--point takes a number from 0 to ${GUARANTEES.length - 1}`);
  process.exit(2);
}
const args = ["ava", "--tap", "--match", requested === undefined ? "*: *" : `${requested}: *`];
const child = spawn("npx", args, { stdio: ["ignore", "pipe", "ignore"] });
const results = [];
/** Whether the following lines describe a failed test. */
let isFailing = false;
createInterface({ input: child.stdout }).on("line", (line) => {
  if (isFailing && line.startsWith("  ")) console.error(line);
  const match = /^(not ok|ok) \d+ - (?:.* › )?(\S+) › (\d+): (.*)$/.exec(line);
  if (match === null) return;
  const [, verdict, file, point, title] = match;
  isFailing = verdict === "not ok";
  results.push({ point: Number(point), file, title, isProved: verdict === "ok" });
});
child.on("close", () => {
  const points = GUARANTEES.map((name, point) => ({ point, name })).filter(({ point }) =>
    requested === undefined || point === requested
  );
  let isComplete = true;
  for (const { point, name } of points) {
    const proofs = results.filter((result) => result.point === point).sort((a, b) =>
      a.title < b.title ? -1 : 1
    );
    const isProved = proofs.length > 0 && proofs.every((result) => result.isProved);
    isComplete &&= isProved;
    console.log(`${String(point).padStart(2)}  ${isProved ? "proved    " : "NOT PROVED"}  ${name}`);
    for (const { file, title, isProved: ok } of proofs) {
      console.log(`      ${ok ? "ok    " : "FAILED"}  ${title} (${file})`);
    }
  }
  const failed = results.filter((result) => !result.isProved).length;
  console.log(`proofs: ${results.length - failed} passed, ${failed} failed`);
  process.exit(isComplete ? 0 : 1);
});
