/** Output of the check of a routing configuration. */
import type { IFinding } from "./configuration_finding.ts";
import { Severity } from "./configuration_finding.ts";

/** Exit codes of the check, which differ from those of other commands. */
export enum CheckExitCode {
  Clean = 0,
  Warnings = 1,
  Errors = 2,
  /** The command line is invalid or a file cannot be read. */
  Unusable = 3,
}

const RESET = "\u001b[0m";
const COLORS: Readonly<Record<Severity, string>> = {
  [Severity.Error]: "\u001b[31m",
  [Severity.Warning]: "\u001b[33m",
  [Severity.Note]: "\u001b[36m",
};

/** Notes do not count. */
export function exitCodeOf(findings: readonly IFinding[]): CheckExitCode {
  const severities = new Set(findings.map(({ severity }) => severity));
  if (severities.has(Severity.Error)) return CheckExitCode.Errors;
  return severities.has(Severity.Warning) ? CheckExitCode.Warnings : CheckExitCode.Clean;
}

/** Renders one line for each finding. */
export function renderFindings(
  findings: readonly IFinding[],
  { source, isColored }: { source: string; isColored: boolean },
): string {
  return findings.map(({ severity, kind, name, line, column, message }) => {
    const label = isColored ? `${COLORS[severity]}${severity}${RESET}` : severity;
    const entry = name === "" ? kind : `${kind} ${JSON.stringify(name)}`;
    return `${source}:${line}:${column}: ${label}: ${entry}: ${message}`;
  }).join("\n");
}
