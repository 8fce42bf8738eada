/** Which software produces a stream. What servers of two software versions write does not fit together. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";

/** The software that produced the first event of a stream. */
export interface IStreamOrigin {
  readonly service: string;
  /** Undefined if the server's entry stated none. */
  readonly softwareVersion: string | undefined;
}

/** Returns the servers at which a stream may go on; none if the version that began it is unknown. */
export function serversOfOrigin(
  { service, softwareVersion }: IStreamOrigin,
  backends: readonly IBackendEntry[],
): readonly IBackendEntry[] {
  if (softwareVersion === undefined) return [];
  return backends.filter((entry) => entry.service === service && entry.softwareVersion === softwareVersion);
}
