/** The platform's list of instances, which lags behind the truth. */
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
  /** Service that a plain backend server offers; empty for the other roles. */
  readonly service: string;
  readonly zone: string;
  /** `host:port` for requests; for the system's own instances the address for peers. */
  readonly address: string;
  readonly state: InstanceState;
}

/** Live and leaving instances of the system and backend servers. */
export interface IInstanceList {
  list(): Effect.Effect<readonly IInstanceInfo[], PlatformError>;
}
