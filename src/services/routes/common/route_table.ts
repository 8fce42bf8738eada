/** Routing table for opaque requests: maps a host and the longest path prefix to weighted services. */
import type { IOrganisation } from "../../organisations/common/organisation.ts";
import { OrganisationTable } from "../../organisations/common/organisation_table.ts";

/** Kind of a route, which determines whether its requests may be retried. */
export enum RouteKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once. */
  Unsafe = "unsafe",
  /** Event stream from a model engine. */
  Stream = "stream",
}

export interface IWeightedService {
  readonly service: string;
  readonly weight: number;
}

export interface IRoute {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly services: readonly IWeightedService[];
  /** Maximum time that a caller waits for the response, in ms. */
  readonly timeoutMs: number;
  /** Latency target of a response, in ms; a later response is worth less to the caller. */
  readonly targetMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of backend servers that may run one request. */
  readonly attempts: number;
  readonly isSticky: boolean;
  /** Longest pause between the events of a stream that is still on time, in ms; undefined if none is declared. */
  readonly maxPauseMs?: number | undefined;
  /** Whether a stream can be resumed on another backend server by its event ids. */
  readonly isResumable: boolean;
  /** Whether turns contain only their new input and the gateway keeps the history. */
  readonly keepsHistory: boolean;
  /** Retention of turns and budgets after their last use, in ms; 0 for routes without turns. */
  readonly retainMs: number;
  /** Whether requests need no API key although organisations are configured; false by default. */
  readonly isPublic?: boolean;
}

/** A service as configured. */
export interface IServiceInfo {
  readonly name: string;
  /** Maximum number of connections that one backend server accepts from all instances together. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine: IEngineInfo | undefined;
}

export interface IEngineInfo {
  /** Number of requests that an engine runs concurrently. */
  readonly slots: number;
  readonly kvTokens: number;
  readonly tokensPerEvent: number;
}

/** Limits on callers' requests and connections. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface IRoutingConfiguration {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: ReadonlyMap<string, IServiceInfo>;
  readonly limits: ICallerLimits;
  /** Undefined if the deployment has no organisations, so that requests need no API key. */
  readonly organisations?: readonly IOrganisation[] | undefined;
}

/** Whether a route's requests may be executed more than once. */
export function isRepeatable(route: IRoute): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.isResumable);
}

/** Routes, services and organisations of the configuration in force. The version never decreases. */
export class RouteTable {
  readonly organisations = new OrganisationTable();
  #configuration: IRoutingConfiguration | undefined;
  #byHost = new Map<string, readonly IRoute[]>();

  get configuration(): IRoutingConfiguration | undefined {
    return this.#configuration;
  }

  get version(): number {
    return this.#configuration?.version ?? -1;
  }

  /** Applies a configuration if it is newer than the one in force; returns whether it was applied. */
  updateIfNewer(configuration: IRoutingConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    const byHost = new Map<string, IRoute[]>();
    for (const route of configuration.routes) {
      const routes = byHost.get(route.host) ?? [];
      routes.push(route);
      byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
    this.#byHost = byHost;
    this.organisations.update(configuration.organisations);
    this.#configuration = configuration;
    return true;
  }

  /** Returns the host's route with the longest prefix that matches the path. */
  find(host: string, path: string): IRoute | undefined {
    const queryStart = path.indexOf("?");
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    return this.#byHost.get(hostOf(host))?.find(({ prefix }) => pathname.startsWith(prefix));
  }

  service(name: string): IServiceInfo | undefined {
    return this.#configuration?.services.get(name);
  }
}

function hostOf(header: string): string {
  const portStart = header.indexOf(":");
  return (portStart < 0 ? header : header.slice(0, portStart)).toLowerCase();
}

/** Selects one of a route's services by weight; empty if it has none. `fraction` is in the range [0, 1). */
export function selectServiceByWeight(services: readonly IWeightedService[], fraction: number): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services.at(-1)?.service ?? "";
}
