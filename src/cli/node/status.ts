/** The command that shows an instance's gauges to a person. */
import { toError } from "../../base/common/errors.ts";
import { ExitCode } from "../common/exit_code.ts";
import { readGauges } from "../common/gauges.ts";
import { renderFields } from "../common/output.ts";

/** Longest wait for the metrics, in ms: an instance that takes longer is as good as down for a person. */
const TIMEOUT_MS = 3000;

export interface IStatusOptions {
  /** Where the instance serves its metrics. */
  readonly url: string;
  readonly isJson: boolean;
}

export async function status({ url, isJson }: IStatusOptions): Promise<ExitCode> {
  try {
    const reply = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    const gauges = readGauges(await reply.text());
    if (!reply.ok || Object.keys(gauges).length === 0) {
      throw new Error(`${url} gives no metrics (${reply.status})`);
    }
    console.log(isJson ? JSON.stringify(gauges) : renderFields(gauges));
    return ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.Failed;
  }
}
