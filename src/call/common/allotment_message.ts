/** Conversion of a request's progress to and from the messages that instances exchange. */
import { RequestProgress as ProgressMessage } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { RequestProgress } from "../../routing/common/allotment_limiter.ts";

const TO_MESSAGE: Readonly<Record<RequestProgress, ProgressMessage>> = {
  [RequestProgress.First]: ProgressMessage.FIRST,
  [RequestProgress.Continued]: ProgressMessage.CONTINUED,
  [RequestProgress.Repeated]: ProgressMessage.REPEATED,
};

export function toProgressMessage(progress: RequestProgress): ProgressMessage {
  return TO_MESSAGE[progress];
}

/** A value that a newer build sends counts as the first request of a program. */
export function fromProgressMessage(message: ProgressMessage): RequestProgress {
  const found = Object.entries(TO_MESSAGE).find(([, value]) => value === message);
  return (found?.[0] as RequestProgress | undefined) ?? RequestProgress.First;
}
