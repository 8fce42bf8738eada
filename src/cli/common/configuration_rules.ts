/**
 * Rules of a single routing configuration: errors, entries that can never match, and limits that contradict each other.
 */
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { digestPrefixOf } from "../../services/organisations/common/organisation_table.ts";
import type { IRoute, IRoutingConfiguration } from "../../services/routes/common/route_table.ts";
import { isRepeatable } from "../../services/routes/common/route_table.ts";
import type { EntryField, IConfigurationText, IEntryPart, IFinding } from "./configuration_finding.ts";
import { EntryKind, firstPosition, hasErrors, Rule, Severity } from "./configuration_finding.ts";
import { findDifferences } from "./configuration_differences.ts";

const MS_PER_SECOND = 1000;

export interface ICheckOptions {
  readonly inForce?: IRoutingConfiguration | undefined;
  /** Number of backend servers by service. Rules on capacity apply only where it is known. */
  readonly servers?: ReadonlyMap<string, number>;
}

/**
 * Checks a configuration. Returns the findings sorted by position. The rules for what a configuration means are applied
 * only if its form has no error, because otherwise values may be missing.
 */
export function checkConfiguration(text: IConfigurationText, opts: ICheckOptions = {}): IFinding[] {
  const { configuration } = text;
  const findings = [...text.defects, ...findDuplicateNames(text)];
  if (configuration === undefined) findings.push(rejection(text));
  else if (!hasErrors(text.defects)) {
    findings.push(...new ConfigurationRules(text, configuration).apply(opts.servers ?? new Map()));
    if (opts.inForce !== undefined) findings.push(...findDifferences(text, opts.inForce));
  }
  return findings.sort((a, b) => a.line - b.line || a.column - b.column);
}

function rejection(text: IConfigurationText): IFinding {
  return {
    severity: Severity.Error,
    rule: Rule.Rejected,
    kind: EntryKind.Configuration,
    name: "",
    ...firstPosition(text, []),
    message: "Instances reject this configuration as a whole and keep the version in force.",
  };
}

function findDuplicateNames(text: IConfigurationText): IFinding[] {
  const findings: IFinding[] = [];
  for (const kind of [EntryKind.Route, EntryKind.Service, EntryKind.Organisation]) {
    const firstIndexes = new Map<string, number>();
    for (const [index, name] of text.namesOf(kind).entries()) {
      const first = firstIndexes.get(name);
      if (first === undefined) {
        firstIndexes.set(name, index);
        continue;
      }
      const { line } = firstPosition(text, [{ kind, index: first }]);
      findings.push({
        severity: Severity.Error,
        rule: Rule.DuplicateName,
        kind,
        name,
        ...firstPosition(text, [{ kind, index, field: "name" }, { kind, index }]),
        message: `Another ${kind} has the same name (line ${line}).`,
      });
    }
  }
  return findings;
}

interface IViolation extends IEntryPart {
  readonly rule: Rule;
  readonly message: string;
  readonly severity?: Severity;
}

/** Applies the rules to one configuration. */
class ConfigurationRules {
  readonly #text: IConfigurationText;
  readonly #configuration: IRoutingConfiguration;
  readonly #findings: IFinding[] = [];

  constructor(text: IConfigurationText, configuration: IRoutingConfiguration) {
    this.#text = text;
    this.#configuration = configuration;
  }

  apply(servers: ReadonlyMap<string, number>): readonly IFinding[] {
    const { routes, organisations = [] } = this.#configuration;
    for (const [index, route] of routes.entries()) {
      this.#checkServices(route, index);
      this.#checkMatch(route, index);
      this.#checkRouteLimits(route, index);
    }
    this.#checkUse();
    this.#checkVersion();
    const capacity = capacityPerSecond(this.#configuration, servers);
    for (const [index, organisation] of organisations.entries()) {
      this.#checkAllotment(organisation, { index, capacity });
    }
    this.#checkKeys(organisations);
    return this.#findings;
  }

  #checkServices({ services }: IRoute, index: number): void {
    const kind = EntryKind.Route;
    const isWeighted = this.#text.positionOf({ kind, index, field: "services" }) !== undefined;
    if (services.length === 0) {
      const message = "The list of weighted services is empty, so that no request can be served.";
      this.#add({
        kind,
        index,
        field: "services",
        rule: Rule.NoWeightedService,
        severity: Severity.Error,
        message,
      });
    }
    if (isWeighted && this.#text.positionOf({ kind, index, field: "service" }) !== undefined) {
      const message = "The single service is ignored, because the route has weighted services.";
      this.#add({ kind, index, field: "service", rule: Rule.IgnoredService, message });
    }
    const isWithoutWeight = services.every(({ weight }) => weight <= 0);
    for (const [item, { service, weight }] of services.entries()) {
      const part: IEntryPart = isWeighted
        ? { kind, index, field: "services", item }
        : { kind, index, field: "service" };
      if (!this.#configuration.services.has(service)) {
        const message = service === ""
          ? "The route names no service."
          : `The service ${quote(service)} does not exist.`;
        this.#add({ ...part, rule: Rule.UnknownService, severity: Severity.Error, message });
      }
      if (weight > 0) continue;
      const message = isWithoutWeight
        ? `No service of the route has a weight above 0, so that the last one gets all requests.`
        : `The service ${quote(service)} has weight ${weight} and gets no requests.`;
      this.#add({ ...part, rule: Rule.NoWeight, message });
    }
  }

  #checkMatch({ host, prefix }: IRoute, index: number): void {
    const part = { kind: EntryKind.Route, index, rule: Rule.NeverMatches };
    const { routes } = this.#configuration;
    const earlier = routes.slice(0, index).findIndex((other) =>
      other.host === host && other.prefix === prefix
    );
    if (earlier >= 0) {
      const { line } = firstPosition(this.#text, [{ kind: EntryKind.Route, index: earlier }]);
      const message = `The route never matches: the earlier route ${
        quote(routes[earlier].name)
      } (line ${line}) has the same host and prefix.`;
      this.#add({ ...part, field: "prefix", message });
    }
    if (!prefix.startsWith("/")) {
      const message = "The route never matches: its prefix does not begin with a slash.";
      this.#add({ ...part, field: "prefix", message });
    }
    if (host.includes(":")) {
      const message =
        "The route never matches: its host contains a colon, and requests are matched without the port.";
      this.#add({ ...part, field: "host", message });
    }
  }

  #checkRouteLimits(route: IRoute, index: number): void {
    const { timeoutMs, targetMs, attempts } = route;
    const kind = EntryKind.Route;
    if (timeoutMs <= 0) {
      this.#add({
        kind,
        index,
        field: "timeoutMs",
        rule: Rule.NonPositiveTimeLimit,
        severity: Severity.Error,
        message: `The time limit of ${timeoutMs} ms lets no request complete.`,
      });
    } else if (timeoutMs < targetMs) {
      const message =
        `The time limit of ${timeoutMs} ms is shorter than the target latency of ${targetMs} ms.`;
      this.#add({ kind, index, field: "timeoutMs", rule: Rule.TimeLimitBelowTarget, message });
    }
    const isStated = (field: EntryField) => this.#text.positionOf({ kind, index, field }) !== undefined;
    if (!isStated("attempts") || attempts <= 1) return;
    if (!isRepeatable(route)) {
      const message = `${attempts} attempts have no effect, because requests of the route run at most once.`;
      this.#add({ kind, index, field: "attempts", rule: Rule.AttemptsOfOnceOnly, message });
    } else if (isStated("targetMs") && targetMs <= timeoutMs && attempts * targetMs > timeoutMs) {
      const message =
        `${attempts} attempts at the target latency of ${targetMs} ms take longer than the time limit of ${timeoutMs} ms.`;
      this.#add({ kind, index, field: "attempts", rule: Rule.TimeLimitBelowAttempts, message });
    }
  }

  #checkUse(): void {
    const { routes } = this.#configuration;
    const used = new Set(routes.flatMap(({ services }) => services.map(({ service }) => service)));
    for (const [index, name] of this.#text.namesOf(EntryKind.Service).entries()) {
      if (used.has(name)) continue;
      this.#add({
        kind: EntryKind.Service,
        index,
        rule: Rule.UnusedService,
        message: "No route uses the service.",
      });
    }
  }

  #checkVersion(): void {
    const { version } = this.#configuration;
    if (version >= 0) return;
    this.#add({
      kind: EntryKind.Configuration,
      field: "version",
      rule: Rule.VersionNotNewer,
      severity: Severity.Error,
      message: `Instances ignore the negative version ${version}.`,
    });
  }

  #checkAllotment(
    { keyDigests, allotment }: IOrganisation,
    { index, capacity }: { index: number; capacity: number | undefined },
  ): void {
    const kind = EntryKind.Organisation;
    if (keyDigests.length === 0) {
      const message = "The organisation has no API key, so that no request belongs to it.";
      this.#add({ kind, index, rule: Rule.NoKey, message });
    }
    if (allotment === undefined) return;
    const { perSecond, burst } = allotment;
    if (burst < 1) {
      const message =
        `The burst of ${burst} is below one request, so that requests within the rate can be refused.`;
      this.#add({ kind, index, field: "burst", rule: Rule.BurstBelowOne, message });
    }
    if (capacity !== undefined && perSecond > capacity) {
      const message = `The rate of ${perSecond} requests/s is above the ${
        capacity.toFixed(1)
      } that the servers of all routes bear at the target latencies.`;
      this.#add({ kind, index, field: "perSecond", rule: Rule.AllotmentAboveCapacity, message });
    }
  }

  #checkKeys(organisations: readonly IOrganisation[]): void {
    const owners = new Map<string, number>();
    for (const [index, { keyDigests }] of organisations.entries()) {
      for (const digest of keyDigests) {
        const owner = owners.get(digest);
        if (owner === undefined) {
          owners.set(digest, index);
          continue;
        }
        const part = { kind: EntryKind.Organisation, index, field: "keys", rule: Rule.DuplicateKey } as const;
        const key = digestPrefixOf(digest);
        if (owner === index) {
          this.#add({ ...part, message: `The organisation has the key ${key} twice.` });
          continue;
        }
        const message = `The key ${key} belongs to ${
          quote(organisations[owner].name)
        } as well, and its requests are counted as that organisation's.`;
        this.#add({ ...part, severity: Severity.Error, message });
      }
    }
  }

  #add({ rule, message, severity = Severity.Warning, ...part }: IViolation): void {
    const { kind, index = 0 } = part;
    this.#findings.push({
      severity,
      rule,
      kind,
      name: this.#text.namesOf(kind)[index] ?? "",
      ...firstPosition(this.#text, [part, { ...part, item: undefined }, { kind, index }]),
      message,
    });
  }
}

/**
 * Requests per second that the servers of all routed services bear if each takes the shortest target latency of the
 * service's routes. Undefined unless the slots and the number of servers are known for each of these services.
 */
function capacityPerSecond(
  { routes, services }: IRoutingConfiguration,
  servers: ReadonlyMap<string, number>,
): number | undefined {
  const targets = new Map<string, number>();
  for (const { services: weighted, targetMs } of routes) {
    for (const { service } of weighted) {
      targets.set(service, Math.min(targetMs, targets.get(service) ?? Infinity));
    }
  }
  let total = 0;
  for (const [service, targetMs] of targets) {
    const slots = services.get(service)?.engine?.slots;
    const count = servers.get(service);
    if (slots === undefined || count === undefined || targetMs <= 0) return undefined;
    total += count * slots * MS_PER_SECOND / targetMs;
  }
  return targets.size === 0 ? undefined : total;
}

function quote(name: string): string {
  return JSON.stringify(name);
}
