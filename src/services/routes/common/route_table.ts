/** Routes of opaque requests: host and longest path prefix to weighted services. */

/** What may be repeated of a route's requests. */
export enum RouteKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once for each request. */
  Unsafe = "unsafe",
  /** An event stream from a model engine. */
  Stream = "stream",
}

export interface IWeightedService {
  readonly service: string;
  readonly weight: number;
}

export interface IRoute {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly services: readonly IWeightedService[];
  /** Longest time that a caller is kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value, in ms. */
  readonly targetMs: number;
  /** 0 is the most important. */
  readonly priority: number;
  /** Most backend servers that may run one request. */
  readonly attempts: number;
  readonly isSticky: boolean;
  /** Whether a stream may be resumed on another backend server by its event ids. */
  readonly isResumable: boolean;
  /** Whether turns carry only their new input, the rest being kept by the system. */
  readonly keepsHistory: boolean;
  /** How long turns and budgets are kept after their last use, in ms; 0 for routes without turns. */
  readonly retainMs: number;
}

/** What is known of a service from the configuration. */
export interface IServiceInfo {
  readonly name: string;
  /** Most connections that one backend server accepts from all instances. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine: IEngineInfo | undefined;
}

export interface IEngineInfo {
  /** Requests that an engine runs at once. */
  readonly slots: number;
  readonly kvTokens: number;
  readonly tokensPerEvent: number;
}

/** Bounds on what callers may send. */
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
}

/** Whether a route's requests may run more than once. */
export function isRepeatable(route: IRoute): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.isResumable);
}

/** The configuration in force; its version never goes back. */
export class RouteTable {
  #configuration: IRoutingConfiguration | undefined;
  #byHost = new Map<string, readonly IRoute[]>();

  get configuration(): IRoutingConfiguration | undefined {
    return this.#configuration;
  }

  get version(): number {
    return this.#configuration?.version ?? -1;
  }

  /** Puts a configuration in force unless it is older than the present one; returns whether it did. */
  adopt(configuration: IRoutingConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    const byHost = new Map<string, IRoute[]>();
    for (const route of configuration.routes) {
      const routes = byHost.get(route.host) ?? [];
      routes.push(route);
      byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
    this.#byHost = byHost;
    this.#configuration = configuration;
    return true;
  }

  /** The route with the longest prefix of a path, among those of a host. */
  find(host: string, path: string): IRoute | undefined {
    const query = path.indexOf("?");
    const bare = query < 0 ? path : path.slice(0, query);
    return this.#byHost.get(hostOf(host))?.find(({ prefix }) => bare.startsWith(prefix));
  }

  service(name: string): IServiceInfo | undefined {
    return this.#configuration?.services.get(name);
  }
}

function hostOf(header: string): string {
  const port = header.indexOf(":");
  return (port < 0 ? header : header.slice(0, port)).toLowerCase();
}

/** Picks one of a route's services by weight. `point` is from 0 up to, not including, 1. */
export function pickService(services: readonly IWeightedService[], point: number): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let left = point * total;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services[services.length - 1].service;
}
