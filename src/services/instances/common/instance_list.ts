/** The platform's list of instances and backend servers. It is eventually consistent. */
import type { Effect } from "effect";
import type { PlatformError } from "../../../base/common/errors.ts";

export enum InstanceRole {
  System = "system",
  Engine = "engine",
  Service = "service",
}

export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

export interface IInstanceInfo {
  readonly id: string;
  readonly role: InstanceRole;
  /** Service offered by a backend server with the role `Service`; empty for the other roles. */
  readonly service: string;
  readonly zone: string;
  /** `host:port` for requests; for the system's own instances, the address that peers use. */
  readonly address: string;
  readonly state: InstanceState;
}

/** Lists the live and leaving instances of the system and backend servers. */
export interface IInstanceList {
  list(): Effect.Effect<readonly IInstanceInfo[], PlatformError>;
}
