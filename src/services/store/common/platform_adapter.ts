/** Interface that a platform adapter implements. */
import type { IBackendEntry } from "../../backends/common/backend_directory.ts";
import type { IRoutingConfiguration } from "../../routes/common/route_table.ts";
import type { IPartitionedLog } from "./partitioned_log.ts";

/** Location and decoding of the records in the platform's store. */
export interface IPlatformAdapter {
  readonly log: IPartitionedLog;
  /** Keyed topic to which the operator writes the configuration. */
  readonly configurationTopic: string;
  readonly configurationKey: string;
  /** Keyed topic with one entry for each backend server, under the server's id. */
  readonly backendTopic: string;
  /** Keyed topic in which the instances keep strikes. */
  readonly strikeTopic: string;
  /** Keyed topic in which the instances keep the origins of recent streams. */
  readonly streamTopic: string;
  /** Returns undefined for a value that cannot be decoded. */
  decodeConfiguration(value: Uint8Array): IRoutingConfiguration | undefined;
  /** Replaces the API keys in a configuration by their digests; the result can be decoded like the configuration. */
  withoutApiKeys(value: Uint8Array): Uint8Array;
  /** Returns undefined for a value that does not describe a usable backend server. */
  decodeBackend(id: string, value: Uint8Array): IBackendEntry | undefined;
}
