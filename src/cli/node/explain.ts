/** The command that explains how a request ended. */
import { toError } from "../../base/common/errors.ts";
import { ExitCode } from "../common/exit_code.ts";
import { renderStory } from "../common/render_story.ts";
import { tellRequest } from "../common/request_story.ts";
import { readLogLines } from "./log_files.ts";

export interface IExplainOptions {
  /** Log files of any number of instances; standard input without any. */
  readonly files: readonly string[];
  readonly isJson: boolean;
}

/** Prints a request's story; fails when no line speaks of it. */
export async function explain(requestId: string, { files, isJson }: IExplainOptions): Promise<ExitCode> {
  try {
    const story = tellRequest(await readLogLines(files), requestId);
    console.log(isJson ? JSON.stringify(story) : renderStory(requestId, story));
    return story.end === undefined && story.attempts.length === 0 ? ExitCode.Failed : ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.BadInput;
  }
}
