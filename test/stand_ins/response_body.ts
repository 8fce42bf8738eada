/** Body of a backend server's response that is not read from a connection. */
import type { IResponseBody } from "../../src/call/common/opaque_request.ts";
import { BodyFraming } from "../../src/call/common/opaque_request.ts";

export function makeResponseBody(read: IResponseBody["read"], framing = BodyFraming.Chunks): IResponseBody {
  return { framing, read, connectionError: undefined, drain: () => {}, discard: () => {} };
}
