/** Renders the explanation of a request as text. */
import type { ILogLine } from "./log_line.ts";
import type { IRequestExplanation } from "./request_explanation.ts";

/** Maximum number of state changes shown; the most recent ones are the most likely to matter. */
const MAX_STATE_CHANGES = 40;

export function renderExplanation(requestId: string, explanation: IRequestExplanation): string {
  const { end, attempts, siblings, beliefs, causes, gaps } = explanation;
  const shownChanges = beliefs.slice(-MAX_STATE_CHANGES);
  const omitted = beliefs.length - shownChanges.length;
  return [
    `request ${requestId}`,
    ...section("ended", end === undefined ? [] : [renderLine(end)]),
    ...section("why", causes.map((cause) => `- ${cause}`)),
    ...section("attempts", attempts.map(renderLine)),
    ...section("state changes before and during the request", [
      ...(omitted > 0 ? [`(${omitted} earlier lines omitted)`] : []),
      ...shownChanges.map(renderLine),
    ]),
    ...section("other requests of the program", siblings.map(renderLine)),
    ...section("missing from the logs", gaps.map((gap) => `- ${gap}`)),
  ].join("\n");
}

function section(title: string, lines: readonly string[]): string[] {
  return lines.length === 0 ? [] : ["", `${title}:`, ...lines.map((line) => `  ${line}`)];
}

function renderLine({ time, instance, event, fields }: ILogLine): string {
  const values = Object.entries(fields).filter(([, value]) => value !== undefined && value !== null);
  const text = values.map(([name, value]) =>
    `${name}=${typeof value === "object" ? JSON.stringify(value) : value}`
  );
  return [new Date(time).toISOString().slice(11, 23), instance, event, ...text].join(" ");
}
