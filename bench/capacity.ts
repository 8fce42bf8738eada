/** Works docs/CAPACITY.md out from the measured slopes and the size that the system is designed for. */
import { readFileSync, writeFileSync } from "node:fs";
import type { IEndToEnd } from "./slopes/end_to_end.ts";
import type { ISlope } from "./slopes/fit.ts";

const SLOPES_FILE = "docs/data/slopes.json";
const PAGE = "docs/CAPACITY.md";

/** The size that the system is designed for. */
const SIZE = {
  nodes: 400,
  regions: 4,
  zones: 11,
  engines: 2200,
  callsPerSecond: 4000,
  programs: 150_000,
  customers: 6500,
  changesPerDay: 1100,
  restartsPerDay: 232,
};
/** Limits for control on each node. */
const LIMIT = { coreShare: 0.017, megabytes: 128, bytesPerSecond: 3000 };
const APPENDS_LIMIT = 300;
/** Turns that a program under way has on average; an assumption. */
const MEAN_TURNS = 30;
const SECONDS_PER_DAY = 86_400;
const HEARTBEATS_PER_SECOND = 5;
const POLLS_PER_SECOND = 2.5;
/** HTTP/2 frames and headers of a heartbeat and its answer. */
const HEARTBEAT_OVERHEAD_BYTES = 160;
const MICROS_PER_SECOND = 1_000_000;
const MEGABYTE = 1_000_000;

interface IMeasured {
  readonly slopes: readonly ISlope[];
  readonly endToEnd: IEndToEnd;
}

/** What one role needs on one node. */
interface INeed {
  readonly role: string;
  readonly how: string;
  readonly coreShare: number;
  readonly bytesPerSecond: number;
  readonly megabytes: number;
  /** Mechanism that brings the role within the limits, where today's does not. */
  readonly next: string;
}

const measured = JSON.parse(readFileSync(SLOPES_FILE, "utf8")) as IMeasured;

function slope(name: string): number {
  const found = measured.slopes.find((candidate) => candidate.name === name);
  if (found === undefined) throw new Error(`no slope named ${name}`);
  return found.slope;
}

const nodesPerRegion = SIZE.nodes / SIZE.regions;
const enginesPerRegion = SIZE.engines / SIZE.regions;
const callsPerRegion = SIZE.callsPerSecond / SIZE.regions;
const programsPerRegion = SIZE.programs / SIZE.regions;
const programBytes = slope("heap per program") + MEAN_TURNS * slope("heap per turn");
const micros = (perSecond: number) => perSecond / MICROS_PER_SECOND;
/** Copies of a slice's state: the owner and the two next in line. */
const REPLICAS = 3;
const partialShare = REPLICAS / nodesPerRegion;

function control(): INeed[] {
  const peers = nodesPerRegion - 1;
  const perPeerMicros = slope("idle, by peers");
  const heartbeatBytes = HEARTBEATS_PER_SECOND * 2 * (slope("heartbeat") + HEARTBEAT_OVERHEAD_BYTES);
  const changeBytes = SIZE.customers * slope("configuration");
  const pollBytes = POLLS_PER_SECOND * slope("load report");
  return [
    {
      role: "membership: heartbeats",
      how: `${peers} peers in a region, one exchange with each ${HEARTBEATS_PER_SECOND} times a second`,
      coreShare: micros(peers * perPeerMicros),
      bytesPerSecond: peers * heartbeatBytes,
      megabytes: 0.1,
      next: "each node watches 3 others in rings of zones, once a second; news travels with the heartbeats",
    },
    {
      role: "membership: views",
      how: `${SIZE.restartsPerDay} restarts and failures a day, two views each, of ${nodesPerRegion} members`,
      coreShare: micros(
        2 * SIZE.restartsPerDay / SIZE.regions / SECONDS_PER_DAY * nodesPerRegion * slope("view change"),
      ),
      bytesPerSecond: 2 * SIZE.restartsPerDay / SIZE.regions / SECONDS_PER_DAY * nodesPerRegion *
        slope("view record"),
      megabytes: 0.1,
      next: "",
    },
    {
      role: "journal: reading all records",
      how: `${callsPerRegion} turns a second in a region, read by every node`,
      coreShare: micros(callsPerRegion * slope("journal read")),
      bytesPerSecond: callsPerRegion * slope("journal batch"),
      megabytes: 0,
      next: `a stream for each group of slices, read by owner and ${REPLICAS - 1} next in line: a ${
        Math.round(1 / partialShare)
      }th`,
    },
    {
      role: "programs: state of the region",
      how: `${programsPerRegion} programs of ${MEAN_TURNS} turns on average, kept by every node`,
      coreShare: 0,
      bytesPerSecond: 0,
      megabytes: programsPerRegion * programBytes / MEGABYTE,
      next: `the same ${REPLICAS} nodes keep a slice; histories of paused programs stay in the log by offset`,
    },
    {
      role: "configuration",
      how:
        `${SIZE.changesPerDay} changes a day of a document with ${SIZE.customers} customers, read and checked`,
      coreShare: micros(
        SIZE.changesPerDay / SECONDS_PER_DAY * SIZE.customers * slope("configuration change"),
      ),
      bytesPerSecond: SIZE.changesPerDay / SECONDS_PER_DAY * changeBytes,
      megabytes: 2 * changeBytes / MEGABYTE,
      next: "publish differences; customers in a document of their own",
    },
    {
      role: "routing knowledge",
      how: `${enginesPerRegion} engines of a region polled ${POLLS_PER_SECOND} times a second by every node`,
      coreShare: micros(enginesPerRegion * slope("idle, by engines")),
      bytesPerSecond: enginesPerRegion * pollBytes,
      megabytes: enginesPerRegion * slope("heap per engine") / MEGABYTE,
      next:
        "one node of a zone polls an engine and passes a digest on; choices among the warm engine and a sample of 16",
    },
    {
      role: "choice of engines",
      how: `${SIZE.callsPerSecond / SIZE.nodes} choices a second over ${enginesPerRegion} engines`,
      coreShare: micros(SIZE.callsPerSecond / SIZE.nodes * enginesPerRegion * slope("choice of an engine")),
      bytesPerSecond: 0,
      megabytes: 0,
      next: "the same sample",
    },
    {
      role: "KV reconciliation and placement",
      how: `${SIZE.engines / SIZE.nodes} engines a node, their holdings every 3 s`,
      coreShare: micros(SIZE.engines / SIZE.nodes * slope("idle, by engines") / POLLS_PER_SECOND / 2 / 3),
      bytesPerSecond: SIZE.engines / SIZE.nodes / 3 * (SIZE.programs / SIZE.engines) * HOLDING_BYTES,
      megabytes: 0.1,
      next: "holdings as a filter, whole only when it differs",
    },
  ];
}

const HOLDING_BYTES = 60;

function factor(need: INeed): string {
  const worst = Math.max(
    need.coreShare / LIMIT.coreShare,
    need.bytesPerSecond / LIMIT.bytesPerSecond,
    need.megabytes / LIMIT.megabytes,
  );
  return worst <= 1 ? "within" : `${worst.toFixed(worst < 10 ? 1 : 0)} times over`;
}

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  return [header, header.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");
}

function render(): string {
  const needs = control();
  const { endToEnd } = measured;
  const perCallMicros = slope("processor time per call");
  const callsPerNode = SIZE.callsPerSecond / SIZE.nodes;
  const appendsPerNode = APPENDS_LIMIT / nodesPerRegion;
  const sum = (read: (need: INeed) => number) => needs.reduce((total, need) => total + read(need), 0);
  return `# Capacity

Worked out by \`bench/capacity.ts\` from the slopes in \`${SLOPES_FILE}\`, which \`npm run bench:slopes\` measures. To make
this page again: \`npm run bench:slopes -- --out ${SLOPES_FILE}\`, then \`npm run capacity\`. One machine, stand-ins for
the platform and the backend servers. Nothing here was run at the size that it speaks of.

## Size

${SIZE.nodes} nodes in ${SIZE.regions} regions and ${SIZE.zones} availability zones, before ${SIZE.engines} runners;
${SIZE.callsPerSecond} requests a second at the peak; ${SIZE.programs} programs under way, with ${MEAN_TURNS} turns of 380
tokens on average (an assumption); ${SIZE.customers} customers; ${SIZE.changesPerDay} configuration changes and
${SIZE.restartsPerDay} restarts and failures a day. Views and journals are per region: ${nodesPerRegion} nodes each.
For control, a node may spend ${LIMIT.coreShare * 100} % of a core, ${LIMIT.megabytes} MB and ${
    LIMIT.bytesPerSecond / 1000
  } KB/s.

## Slopes

${
    table(
      ["Cost", "Slope", "Unit", "Sizes", "Fit (R²)"],
      measured.slopes.map(({ name, unit, sizes, slope, fit }) => [
        name,
        slope.toPrecision(3),
        unit,
        sizes.join(", "),
        fit.toFixed(3),
      ]),
    )
  }

## Control, for each role on one node, with today's mechanisms

${
    table(
      [
        "Role",
        "What it does at that size",
        "Core",
        "KB/s",
        "MB",
        "Against the limit",
        "Mechanism that would carry it",
      ],
      needs.map((need) => [
        need.role,
        need.how,
        `${(need.coreShare * 100).toFixed(2)} %`,
        (need.bytesPerSecond / 1000).toFixed(2),
        need.megabytes.toFixed(1),
        factor(need),
        need.next || "today's",
      ]),
    )
  }

Together: ${(sum((need) => need.coreShare) * 100).toFixed(1)} % of a core, ${
    (sum((need) => need.bytesPerSecond) / 1000).toFixed(0)
  } KB/s and ${
    sum((need) => need.megabytes).toFixed(0)
  } MB. Today's mechanisms are made for 10 to 12 instances and do
not reach that size: reading every record and keeping every program on every node, and polling every engine from
every node, are what must go first.

## Data path

- A model call costs ${perCallMicros.toFixed(0)} µs of the instances' processor time, ${
    endToEnd.callsPerCoreSecond.toFixed(0)
  } calls a core second. ${callsPerNode} calls a second and node take ${
    (callsPerNode * perCallMicros / 10_000).toFixed(1)
  } % of a core.
- A direct call to the engine stand-in took ${endToEnd.directP50Ms.toFixed(1)} ms (p50) and ${
    endToEnd.directP99Ms.toFixed(1)
  } ms (p99), one through the system ${endToEnd.throughP50Ms.toFixed(1)} and ${
    endToEnd.throughP99Ms.toFixed(1)
  } ms: ${
    (endToEnd.throughP50Ms - endToEnd.directP50Ms).toFixed(1)
  } ms more at p50, one record in the journal included.
- Tokens are one event each. ${1_400_000 / SIZE.nodes} tokens a second and node are not measured yet.

## Appends

Under load a call took ${
    endToEnd.appendsPerCall.toFixed(2)
  } appends; an instance has one under way at a time, and its
records gather meanwhile. With ${APPENDS_LIMIT} appends a second for a region, each of ${nodesPerRegion} nodes has ${
    appendsPerNode.toFixed(0)
  } a second, so a record waits up to ${
    (1000 / appendsPerNode).toFixed(0)
  } ms. With one relay for each availability zone
(${(SIZE.zones / SIZE.regions).toFixed(1)} a region) that gathers its zone's records, the wait is ${
    (1000 / (APPENDS_LIMIT / (SIZE.zones / SIZE.regions))).toFixed(0)
  } ms. The relay call exists for instances that are cut off from the log; it is not used for this yet.

## Failures

- ${SIZE.restartsPerDay} restarts and failures a day make about ${
    2 * SIZE.restartsPerDay / SIZE.regions
  } views a day in a region.
- A zone lost at once is one view, after the failure timeout; its slices go to the members that are left.
- A region that is cut off for an hour goes on alone: its views, journal and configuration stream are its own. A
  configuration published elsewhere must be published to its log as well; nothing does that yet.
- 64 slices for ${nodesPerRegion} nodes leave some nodes without any; ${nodesPerRegion * 10} would be needed.

## Not measured

Time to the first token and between tokens at size, memory under 280,000 tokens of history, cross-region traffic,
logs and metrics collection, and the balancer in front.
`;
}

writeFileSync(PAGE, render());
console.log(`${PAGE} written`);
