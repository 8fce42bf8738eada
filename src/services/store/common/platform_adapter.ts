/** What a platform's adapter provides. */
import type { IBackendEntry } from "../../backends/common/backend_directory.ts";
import type { IRoutingConfiguration } from "../../routes/common/route_table.ts";
import type { IPartitionedLog } from "./partitioned_log.ts";

/** Where the platform's store holds the configuration and the backend servers, and how to read them. */
export interface IPlatformAdapter {
  readonly log: IPartitionedLog;
  /** Keyed topic of the operator's writing. */
  readonly configurationTopic: string;
  readonly configurationKey: string;
  /** Keyed topic in which each backend server has an entry under its identity. */
  readonly backendTopic: string;
  /** Undefined for a value that cannot be read. */
  decodeConfiguration(value: Uint8Array): IRoutingConfiguration | undefined;
  /** Undefined for a value that names no backend server to use. */
  decodeBackend(id: string, value: Uint8Array): IBackendEntry | undefined;
}
