/** Which software produces a stream. What servers of two software versions write does not fit together. */
import { hash64 } from "../../base/common/hash.ts";
import { scopedId } from "../../services/organisations/common/organisation_scope.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";
import type { RequestIdentity } from "./request_identity.ts";

/** The software that produced the first event of a stream. */
export interface IStreamOrigin {
  readonly service: string;
  /** Undefined if the server's entry stated none. */
  readonly softwareVersion: string | undefined;
}

/** Identifies the stream that a caller resumes. */
export interface IResumedStream {
  /** The caller's attempt that brought the first event; undefined if the caller names none. */
  readonly attemptId: string | undefined;
  /** The same for all tries of a request of one session. */
  readonly contentKey: bigint;
}

/** Returns the key that all tries of a request of one session share; those of two organisations never do. */
export function contentKeyOf(
  identity: RequestIdentity,
  { program, organisation }: Pick<IOpaqueRequest, "program"> & { readonly organisation?: string | undefined },
): bigint {
  return hash64(`${identity.fingerprint}/${scopedId(program?.sessionId ?? "", organisation)}`);
}

/** Returns the servers at which a stream may go on; none if the version that began it is unknown. */
export function serversOfOrigin(
  { service, softwareVersion }: IStreamOrigin,
  backends: readonly IBackendEntry[],
): readonly IBackendEntry[] {
  if (softwareVersion === undefined) return [];
  return backends.filter((entry) => entry.service === service && entry.softwareVersion === softwareVersion);
}
