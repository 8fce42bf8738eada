/** The `check` command: checks a routing configuration before it is sent. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { toError } from "../../base/common/errors.ts";
import type { IRoutingConfiguration } from "../../services/routes/common/route_table.ts";
import type { ConfigurationReader } from "../common/configuration_finding.ts";
import { Severity } from "../common/configuration_finding.ts";
import { checkConfiguration } from "../common/configuration_rules.ts";
import { CheckExitCode, exitCodeOf, renderFindings } from "../common/render_findings.ts";

export interface ICheckCommandOptions {
  /** File with the configuration in force. */
  readonly inForce?: string;
  /** Number of servers by service, for example `chat=12,search=4`. */
  readonly servers?: string;
  readonly json?: boolean;
}

/** Prints what is found in a file; `-` is standard input. Returns the exit code. */
export function check(
  file: string,
  { read, inForce, servers, json }: ICheckCommandOptions & { read: ConfigurationReader },
): CheckExitCode {
  try {
    const text = read(readFileSync(file === "-" ? 0 : file));
    const findings = checkConfiguration(text, {
      inForce: inForce === undefined ? undefined : readInForce(String(inForce), read),
      servers: parseServers(servers),
    });
    if (json) console.log(JSON.stringify(findings, undefined, 2));
    else if (findings.length > 0) {
      const isColored = process.stdout.isTTY === true && !process.env.NO_COLOR;
      console.log(renderFindings(findings, { source: file, isColored }));
    }
    return exitCodeOf(findings);
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return CheckExitCode.Unusable;
  }
}

function readInForce(file: string, read: ConfigurationReader): IRoutingConfiguration {
  const { configuration, defects } = read(readFileSync(file));
  const defect = defects.find(({ severity }) => severity === Severity.Error);
  if (configuration !== undefined && defect === undefined) return configuration;
  const reason = defect === undefined
    ? "instances reject it"
    : `${defect.line}:${defect.column}: ${defect.message}`;
  throw new Error(`${file} is no configuration that can be in force: ${reason}`);
}

function parseServers(text: string | undefined): ReadonlyMap<string, number> {
  if (text === undefined) return new Map();
  return new Map(
    String(text).split(",").map((item) => {
      const [, service, count] = /^(.+)=(\d+)$/.exec(item) ?? [];
      if (count === undefined) {
        throw new Error(`--servers: expected SERVICE=NUMBER instead of ${JSON.stringify(item)}`);
      }
      return [service, Number(count)];
    }),
  );
}
