/** Differences between two routing configurations, by name, with what callers will notice. */
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { digestPrefixOf } from "../../services/organisations/common/organisation_table.ts";
import type {
  IRoute,
  IRoutingConfiguration,
  IServiceInfo,
} from "../../services/routes/common/route_table.ts";
import { isRepeatable, RouteTable } from "../../services/routes/common/route_table.ts";
import type { EntryField, IConfigurationText, IFinding } from "./configuration_finding.ts";
import { EntryKind, firstPosition, Rule, Severity } from "./configuration_finding.ts";

/** Lists what a configuration changes compared with the one in force. The configuration must be readable. */
export function findDifferences(text: IConfigurationText, inForce: IRoutingConfiguration): IFinding[] {
  return text.configuration === undefined ? [] : new Comparison(text, inForce).findings(text.configuration);
}

interface IChange {
  readonly kind: EntryKind;
  readonly name?: string;
  readonly field?: EntryField;
  readonly message: string;
  /** By default a warning. */
  readonly severity?: Severity;
  readonly rule?: Rule;
}

/** Adds a change of one entry. */
type AddChange = (field: EntryField | undefined, message: string, severity?: Severity) => void;

class Comparison {
  readonly #text: IConfigurationText;
  readonly #before: IRoutingConfiguration;
  readonly #findings: IFinding[] = [];

  constructor(text: IConfigurationText, inForce: IRoutingConfiguration) {
    this.#text = text;
    this.#before = inForce;
  }

  findings(after: IRoutingConfiguration): IFinding[] {
    const before = this.#before;
    if (after.version >= 0 && after.version <= before.version) {
      this.#add({
        kind: EntryKind.Configuration,
        field: "version",
        rule: Rule.VersionNotNewer,
        severity: Severity.Error,
        message:
          `Instances ignore version ${after.version}, because it is not greater than version ${before.version} in force.`,
      });
    }
    this.#compareRoutes(after);
    this.#compareServices(after);
    this.#compareOrganisations(after);
    this.#compareLimits(after);
    return this.#findings;
  }

  #compareRoutes(after: IRoutingConfiguration): void {
    const kind = EntryKind.Route;
    const table = new RouteTable();
    table.updateIfNewer(after);
    const former = byName(this.#before.routes);
    const next = byName(after.routes);
    for (const [name, route] of former) {
      if (next.has(name)) continue;
      this.#add({ kind, name, message: `The route is removed: ${fate(route, table)}.` });
    }
    for (const [name, route] of next) {
      const old = former.get(name);
      const add: AddChange = (field, message, severity) =>
        this.#add({ kind, name, field, message, severity });
      if (old === undefined) add(undefined, "The route is new.", Severity.Note);
      else {
        if (old.host !== route.host || old.prefix !== route.prefix) {
          add("prefix", `The route moves from ${old.host}${old.prefix}: ${fate(old, table)}.`);
        }
        compareRoute(old, route, add);
      }
    }
  }

  #compareServices(after: IRoutingConfiguration): void {
    const kind = EntryKind.Service;
    for (const name of this.#before.services.keys()) {
      if (after.services.has(name)) continue;
      const message = "The service is removed: instances no longer know its limits.";
      this.#add({ kind, name, message });
    }
    for (const [name, service] of after.services) {
      const old = this.#before.services.get(name);
      const add: AddChange = (field, message, severity) =>
        this.#add({ kind, name, field, message, severity });
      if (old === undefined) add(undefined, "The service is new.", Severity.Note);
      else compareService(old, service, add);
    }
  }

  #compareOrganisations({ organisations }: IRoutingConfiguration): void {
    const kind = EntryKind.Organisation;
    const { organisations: former } = this.#before;
    if (former === undefined && organisations === undefined) return;
    if (former === undefined || organisations === undefined) {
      const message = former === undefined
        ? "Organisations are introduced: requests without a known API key get 401, except on public routes."
        : "Organisations are no longer used: requests need no API key, and no allotment applies.";
      this.#add({ kind, message });
      return;
    }
    const owners = ownersOf(organisations);
    const next = byName(organisations);
    for (const organisation of former) {
      const { name, keyDigests } = organisation;
      if (next.has(name)) continue;
      const isUnused = keyDigests.every((digest) => !owners.has(digest));
      const message = `The organisation is removed: ${
        isUnused
          ? "requests with its keys get 401"
          : "requests with its keys get 401, except with those listed elsewhere"
      }.`;
      this.#add({ kind, name, message });
    }
    const formerByName = byName(former);
    const formerOwners = ownersOf(former);
    for (const [name, organisation] of next) {
      const old = formerByName.get(name);
      const add: AddChange = (field, message, severity) =>
        this.#add({ kind, name, field, message, severity });
      if (old === undefined) add(undefined, "The organisation is new.", Severity.Note);
      else compareAllotment(old, organisation, add);
      compareKeys({ name, former: formerOwners, next: owners }, add);
    }
  }

  #compareLimits({ limits }: IRoutingConfiguration): void {
    const before = this.#before.limits;
    const effects = [
      ["maxBodyBytes", "bytes", "larger request bodies get 413"],
      ["headerTimeoutMs", "ms", "connections whose request header takes longer are closed"],
      ["idleTimeoutMs", "ms", "idle connections are closed sooner"],
    ] as const;
    for (const [field, unit, effect] of effects) {
      if (limits[field] === before[field]) continue;
      const isLowered = limits[field] < before[field];
      const change = `The limit is ${isLowered ? "lowered" : "raised"} from ${before[field]} to ${
        limits[field]
      } ${unit}`;
      const severity = isLowered ? Severity.Warning : Severity.Note;
      this.#add({
        kind: EntryKind.Limits,
        field,
        severity,
        message: isLowered ? `${change}: ${effect}.` : `${change}.`,
      });
    }
  }

  #add(
    { kind, name = "", field, message, severity = Severity.Warning, rule = Rule.Difference }: IChange,
  ): void {
    const found = this.#text.namesOf(kind).indexOf(name);
    const index = found < 0 ? undefined : found;
    const parts = [{ kind, index, field }, { kind, index }, { kind }];
    this.#findings.push({ severity, rule, kind, name, ...firstPosition(this.#text, parts), message });
  }
}

/** Says what requests of a host and prefix get under the new configuration. */
function fate({ host, prefix }: IRoute, table: RouteTable): string {
  const route = table.find(host, prefix);
  return route === undefined
    ? "its requests get 404"
    : `its requests are taken by the route ${JSON.stringify(route.name)}`;
}

function compareRoute(before: IRoute, after: IRoute, add: AddChange): void {
  const [from, to] = [describeServices(before), describeServices(after)];
  if (from !== to) {
    const isMoved = after.services.some(({ service }) =>
      before.services.every((old) => old.service !== service)
    );
    const effect = isMoved
      ? "its requests go to other servers, and streams that began on the former ones may not be resumed"
      : "the shares of its requests change";
    const field = after.services.length === 1 ? "service" : "services";
    add(field, `The route leads to ${to} instead of ${from}: ${effect}.`);
  }
  compareNumbers({ before, after, add }, [
    ["timeoutMs", "time limit", " ms", "slow requests get 504 sooner"],
    ["targetMs", "target latency", " ms", undefined],
    ["maxPauseMs", "longest pause", " ms", undefined],
    ["attempts", "number of attempts", "", "requests fail after fewer servers"],
    ["retainMs", "retention", " ms", "turns and budgets are forgotten sooner"],
  ]);
  if (before.priority !== after.priority) {
    const isUrgent = after.priority < before.priority;
    const change = `The priority changes from ${before.priority} to ${after.priority}`;
    if (isUrgent) add("priority", `${change}.`, Severity.Note);
    else add("priority", `${change}: under load its requests are served later and refused first.`);
  }
  if (before.kind !== after.kind) {
    const effect = isRepeatable(before) === isRepeatable(after)
      ? "its answers are treated differently"
      : isRepeatable(after)
      ? "its requests may run more than once"
      : "failed requests are not retried, and callers get 502 or 504";
    add("kind", `The kind changes from ${before.kind} to ${after.kind}: ${effect}.`);
  }
  const losses = [
    ["isSticky", "requests of a session may go to different servers"],
    ["isResumable", "broken streams are not resumed on another server"],
    ["keepsHistory", "callers must send the whole history with each turn"],
    ["isPublic", "requests without a known API key get 401 if there are organisations"],
  ] as const;
  for (const [field, loss] of losses) {
    const [had, has] = [before[field] === true, after[field] === true];
    if (had && !has) add(field, `A property of the route is withdrawn: ${loss}.`);
  }
  const gains = [
    ["isSticky", "requests of a session go to the same server"],
    ["isResumable", "broken streams are resumed on another server"],
    ["keepsHistory", "callers must send only the new input of each turn"],
    ["isPublic", "requests need no API key"],
  ] as const;
  for (const [field, gain] of gains) {
    const [had, has] = [before[field] === true, after[field] === true];
    // Callers that send the whole history with each turn must change with the configuration.
    const severity = field === "keepsHistory" || field === "isPublic" ? Severity.Warning : Severity.Note;
    if (!had && has) add(field, `A property of the route is added: ${gain}.`, severity);
  }
}

type ComparedNumber = "timeoutMs" | "targetMs" | "maxPauseMs" | "attempts" | "retainMs";

/** Each row has the field, its name in sentences, its unit, and what callers notice if it is lowered. */
function compareNumbers(
  { before, after, add }: { before: IRoute; after: IRoute; add: AddChange },
  rows: readonly (readonly [ComparedNumber, string, string, string | undefined])[],
): void {
  for (const [field, label, unit, effect] of rows) {
    const [from, to] = [before[field] ?? 0, after[field] ?? 0];
    if (from === to) continue;
    const isLowered = to < from;
    const change = `The ${label} is ${isLowered ? "lowered" : "raised"} from ${from} to ${to}${unit}`;
    if (isLowered && effect !== undefined) add(field, `${change}: ${effect}.`);
    else add(field, `${change}.`, Severity.Note);
  }
}

function describeServices({ services }: IRoute): string {
  return services.length === 1
    ? services[0].service
    : services.map(({ service, weight }) => `${service} (weight ${weight})`).join(", ");
}

function compareService(before: IServiceInfo, after: IServiceInfo, add: AddChange): void {
  if (before.maxConnections !== after.maxConnections) {
    const isLowered = after.maxConnections < before.maxConnections;
    const change =
      `The number of connections to one server changes from ${before.maxConnections} to ${after.maxConnections}`;
    if (isLowered) add("maxConnections", `${change}: under load more requests wait or get 503.`);
    else add("maxConnections", `${change}.`, Severity.Note);
  }
  const [from, to] = [before.engine, after.engine];
  if (from === undefined && to === undefined) return;
  if (from === undefined || to === undefined) {
    const effect = to === undefined
      ? "no longer treated as a model engine"
      : "treated as a model engine from now on";
    add("engine", `The service is ${effect}: its requests are distributed differently.`);
    return;
  }
  const isLess = to.slots < from.slots || to.kvTokens < from.kvTokens;
  if (isLess) {
    add("engine", "The capacity of its engines is lowered: under load more requests wait or get 503.");
  } else if (to.slots !== from.slots || to.kvTokens !== from.kvTokens) {
    add("engine", "The capacity of its engines is raised.", Severity.Note);
  }
  if (to.tokensPerEvent !== from.tokensPerEvent) {
    const change = `from ${from.tokensPerEvent} to ${to.tokensPerEvent}`;
    add("engine", `The tokens of an event change ${change}: streams use up budgets at another rate.`);
  }
}

function compareAllotment(before: IOrganisation, after: IOrganisation, add: AddChange): void {
  const rows = [["perSecond", "rate", " requests/s"], ["burst", "burst", " requests"]] as const;
  for (const [field, label, unit] of rows) {
    const [from, to] = [before.allotment?.[field], after.allotment?.[field]];
    if (from === to) continue;
    const change = `The ${label} changes from ${from ?? "no limit"} to ${to ?? "no limit"}${
      to === undefined ? "" : unit
    }`;
    if (to !== undefined && to < (from ?? Infinity)) add(field, `${change}: callers get 429 sooner.`);
    else add(field, `${change}.`, Severity.Note);
  }
  if (before.priority === after.priority) return;
  const change = `The priority changes from ${before.priority ?? "the route's"} to ${
    after.priority ?? "the route's"
  }`;
  add("priority", `${change}: under load its requests are ordered differently.`);
}

/** Names of the organisations that each key belongs to. */
type KeyOwners = ReadonlyMap<string, string>;

function compareKeys(
  { name, former, next }: { name: string; former: KeyOwners; next: KeyOwners },
  add: AddChange,
): void {
  for (const [digest, owner] of former) {
    if (owner === name && !next.has(digest)) {
      add("keys", `The key ${digestPrefixOf(digest)} is withdrawn: requests with it get 401.`);
    }
  }
  for (const [digest, owner] of next) {
    if (owner !== name || former.get(digest) === name) continue;
    const old = former.get(digest);
    const key = digestPrefixOf(digest);
    if (old === undefined) add("keys", `The key ${key} is new.`, Severity.Note);
    else {
      add(
        "keys",
        `The key ${key} moves here from ${JSON.stringify(old)}: programs that run with it get 404.`,
      );
    }
  }
}

/** The first organisation that lists a key has it, as in the table of an instance. */
function ownersOf(organisations: readonly IOrganisation[]): KeyOwners {
  const owners = new Map<string, string>();
  for (const { name, keyDigests } of organisations) {
    for (const digest of keyDigests) if (!owners.has(digest)) owners.set(digest, name);
  }
  return owners;
}

/** The first entry of a name counts. */
function byName<T extends { readonly name: string }>(entries: readonly T[]): ReadonlyMap<string, T> {
  return new Map(entries.toReversed().map((entry) => [entry.name, entry]));
}
