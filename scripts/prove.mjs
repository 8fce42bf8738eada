/** Runs the proofs alone and prints, from the run itself, which promise is proved by which test. */
import { spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

const POINTS = [
  "the whole, against a naive scheduler",
  "the calls of a program run in order",
  "a history is never lost and never mixed",
  "a budget is never exceeded",
  "no engine memory for programs that have ended",
  "every caller gets the whole answer to its own request",
  "refused as not run means that it did not run",
  "what may not be repeated runs at most once",
  "a leaving backend server gets no new work",
  "a planned stop cuts no request",
  "an accepted configuration is in force everywhere and never reverts",
  "hazards: crashing requests, silent connections, fencing, hanging tools",
];

const at = process.argv.indexOf("--point");
const wanted = at < 0 ? undefined : Number(process.argv[at + 1]);
if (wanted !== undefined && POINTS[wanted] === undefined) {
  console.error(`--point takes a number from 0 to ${POINTS.length - 1}`);
  process.exit(2);
}
const args = ["ava", "--tap", "--match", wanted === undefined ? "*: *" : `${wanted}: *`];
const child = spawn("npx", args, { stdio: ["ignore", "pipe", "ignore"] });
const results = [];
/** Whether the lines to come tell of a failure. */
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
  const points = POINTS.map((name, point) => ({ point, name })).filter(({ point }) =>
    wanted === undefined || point === wanted
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
