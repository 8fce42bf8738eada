/** The `status` command: prints the gauges of an instance. */
import { toError } from "../../base/common/errors.ts";
import { ExitCode } from "../common/exit_code.ts";
import { parseGauges } from "../common/gauges.ts";
import { renderFields } from "../common/output.ts";

/** Timeout for reading the metrics, in ms; an instance that takes longer is treated as down. */
const TIMEOUT_MS = 3000;

export interface IStatusOptions {
  /** URL of the instance's metrics. */
  readonly url: string;
  readonly isJson: boolean;
}

export async function status({ url, isJson }: IStatusOptions): Promise<ExitCode> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    const gauges = parseGauges(await response.text());
    if (!response.ok || Object.keys(gauges).length === 0) {
      throw new Error(`${url} returned no metrics (status ${response.status})`);
    }
    console.log(isJson ? JSON.stringify(gauges) : renderFields(gauges));
    return ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.Failed;
  }
}
