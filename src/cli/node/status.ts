/** The `status` command: prints the gauges of an instance. */
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
import { HttpClient } from "../../base/node/http_client.ts";
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
  const client = new HttpClient();
  try {
    const response = await Effect.runPromise(
      Effect.timeout(client.fetch({ method: "GET", url }), TIMEOUT_MS),
    );
    const gauges = parseGauges(new TextDecoder().decode(response.body));
    if (response.status !== 200 || Object.keys(gauges).length === 0) {
      throw new Error(`${url} returned no metrics (status ${response.status})`);
    }
    console.log(isJson ? JSON.stringify(gauges) : renderFields(gauges));
    return ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.Failed;
  } finally {
    client.dispose();
  }
}
