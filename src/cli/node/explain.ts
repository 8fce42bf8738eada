/** The `explain` command: explains the outcome of a request. */
import { toError } from "../../base/common/errors.ts";
import { ExitCode } from "../common/exit_code.ts";
import { renderExplanation } from "../common/render_explanation.ts";
import { explainRequest } from "../common/request_explanation.ts";
import { readLogLines } from "./log_files.ts";

export interface IExplainOptions {
  /** Log files of any number of instances; standard input if empty. */
  readonly files: readonly string[];
  readonly isJson: boolean;
}

/** Prints the explanation of a request; fails if no log line mentions it. */
export async function explain(requestId: string, { files, isJson }: IExplainOptions): Promise<ExitCode> {
  try {
    const explanation = explainRequest(await readLogLines(files), requestId);
    console.log(isJson ? JSON.stringify(explanation) : renderExplanation(requestId, explanation));
    return explanation.end === undefined && explanation.attempts.length === 0 ? ExitCode.Failed : ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.BadInput;
  }
}
