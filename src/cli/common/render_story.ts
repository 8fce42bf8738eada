/** A request's story as text for people. */
import type { ILogLine } from "./log_line.ts";
import type { IRequestStory } from "./request_story.ts";

/** Lines of beliefs that are shown; the newest are the likeliest to matter. */
const MAX_BELIEFS = 40;

export function renderStory(requestId: string, story: IRequestStory): string {
  const { end, attempts, siblings, beliefs, causes, gaps } = story;
  const shown = beliefs.slice(-MAX_BELIEFS);
  const left = beliefs.length - shown.length;
  return [
    `request ${requestId}`,
    ...section("ended", end === undefined ? [] : [renderLine(end)]),
    ...section("why", causes.map((cause) => `- ${cause}`)),
    ...section("on its way", attempts.map(renderLine)),
    ...section("believed before and meanwhile", [
      ...(left > 0 ? [`(${left} earlier lines left out)`] : []),
      ...shown.map(renderLine),
    ]),
    ...section("other requests of the program", siblings.map(renderLine)),
    ...section("what the logs do not tell", gaps.map((gap) => `- ${gap}`)),
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
