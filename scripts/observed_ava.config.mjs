/** The project's configuration of ava, extended by a log of the run's events as JSON lines. */
import { readFileSync, writeSync } from "node:fs";

/** File descriptor that run_tests.mjs reads. */
const EVENTS_FD = 3;

const { ava } = JSON.parse(readFileSync("package.json", "utf8"));

function toLine(
  { type, testFile, title, skip, todo, err, forcedExit, nonZeroExitCode, signal, pendingTests },
) {
  const event = { type, testFile, title, skip, todo, forcedExit, nonZeroExitCode, signal };
  const pendingFiles = pendingTests && [...pendingTests.keys()];
  return `${JSON.stringify({ ...event, pendingFiles, error: err && describeError(err) })}\n`;
}

function describeError({ message, stack, formattedError, formattedDetails = [] }) {
  const details = formattedDetails.flatMap(({ label, formatted }) => [label, formatted]);
  return [message, formattedError, ...details, stack].filter(Boolean).join("\n");
}

export default {
  ...ava,
  nonSemVerExperiments: { observeRunsFromConfig: true },
  async observeRun({ events }) {
    for await (const event of events) {
      const { type } = event;
      if (type !== "stats" && !type.startsWith("worker-std")) writeSync(EVENTS_FD, toLine(event));
    }
  },
};
