/** Generates docs/CAPACITY.md from the measured slopes and the scale that the system is designed for. */
import { readFileSync, writeFileSync } from "node:fs";
import type { IEndToEndCosts } from "./slopes/end_to_end.ts";
import type { ISlope } from "./slopes/linear_fit.ts";

const SLOPES_FILE = "docs/data/slopes.json";
const OUTPUT_FILE = "docs/CAPACITY.md";

/** The scale that the system is designed for. */
const SCALE = {
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
/** Resources that control-plane work may use on each node. */
const CONTROL_LIMIT = { coreShare: 0.017, megabytes: 128, bytesPerSecond: 3000 };
const REGION_APPENDS_PER_SECOND = 300;
/** Assumed mean number of turns of an open program. */
const MEAN_TURNS_PER_PROGRAM = 30;
const SECONDS_PER_DAY = 86_400;
const HEARTBEATS_PER_SECOND = 5;
const POLLS_PER_SECOND = 2.5;
/** HTTP/2 frames and headers of a heartbeat and its response. */
const HEARTBEAT_OVERHEAD_BYTES = 160;
/** Size of one entry in an engine's list of KV cache entries. */
const KV_ENTRY_BYTES = 60;
const MICROS_PER_SECOND = 1_000_000;
const BYTES_PER_MEGABYTE = 1_000_000;

interface ISlopesFile {
  readonly slopes: readonly ISlope[];
  readonly endToEnd: IEndToEndCosts;
}

/** Resources that one role needs on one node. */
interface IRoleCost {
  readonly role: string;
  readonly workload: string;
  readonly coreShare: number;
  readonly bytesPerSecond: number;
  readonly megabytes: number;
  /** Mechanism that would bring the role within the limits; empty if the current one does. */
  readonly requiredMechanism: string;
}

const measured = JSON.parse(readFileSync(SLOPES_FILE, "utf8")) as ISlopesFile;

function slopeOf(name: string): number {
  const found = measured.slopes.find((candidate) => candidate.name === name);
  if (found === undefined) {
    throw new Error(
      `${SLOPES_FILE} has no slope "${name}"; run npm run bench:slopes -- --out ${SLOPES_FILE}`,
    );
  }
  return found.slope;
}

const nodesPerRegion = SCALE.nodes / SCALE.regions;
const enginesPerRegion = SCALE.engines / SCALE.regions;
const callsPerRegion = SCALE.callsPerSecond / SCALE.regions;
const programsPerRegion = SCALE.programs / SCALE.regions;
const programBytes = slopeOf("heap per program") + MEAN_TURNS_PER_PROGRAM * slopeOf("heap per turn");
const coreShareOf = (microsPerSecond: number) => microsPerSecond / MICROS_PER_SECOND;
/** Nodes that would keep a slice's state: its owner and the first two successors. */
const REPLICAS = 3;
const replicaShare = REPLICAS / nodesPerRegion;

function controlPlaneCosts(): IRoleCost[] {
  const peers = nodesPerRegion - 1;
  const perPeerMicros = slopeOf("idle, by peers");
  const heartbeatBytes = HEARTBEATS_PER_SECOND * 2 * (slopeOf("heartbeat") + HEARTBEAT_OVERHEAD_BYTES);
  const changeBytes = SCALE.customers * slopeOf("configuration");
  const pollBytes = POLLS_PER_SECOND * slopeOf("load report");
  return [
    {
      role: "membership: heartbeats",
      workload: `${peers} peers in a region, one exchange with each ${HEARTBEATS_PER_SECOND} times a second`,
      coreShare: coreShareOf(peers * perPeerMicros),
      bytesPerSecond: peers * heartbeatBytes,
      megabytes: 0.1,
      requiredMechanism:
        "each node watches 3 others in rings of zones, once a second; news travels with the heartbeats",
    },
    {
      role: "membership: views",
      workload:
        `${SCALE.restartsPerDay} restarts and failures a day, two views each, of ${nodesPerRegion} members`,
      coreShare: coreShareOf(
        2 * SCALE.restartsPerDay / SCALE.regions / SECONDS_PER_DAY * nodesPerRegion *
          slopeOf("view change"),
      ),
      bytesPerSecond: 2 * SCALE.restartsPerDay / SCALE.regions / SECONDS_PER_DAY *
        nodesPerRegion *
        slopeOf("view record"),
      megabytes: 0.1,
      requiredMechanism: "",
    },
    {
      role: "journal: reading all records",
      workload: `${callsPerRegion} turns a second in a region, read by every node`,
      coreShare: coreShareOf(callsPerRegion * slopeOf("journal read")),
      bytesPerSecond: callsPerRegion * slopeOf("journal batch"),
      megabytes: 0,
      requiredMechanism: `a stream for each group of slices, read by owner and ${
        REPLICAS - 1
      } next in line: a ${Math.round(1 / replicaShare)}th`,
    },
    {
      role: "programs: state of the region",
      workload:
        `${programsPerRegion} programs of ${MEAN_TURNS_PER_PROGRAM} turns on average, kept by every node`,
      coreShare: 0,
      bytesPerSecond: 0,
      megabytes: programsPerRegion * programBytes / BYTES_PER_MEGABYTE,
      requiredMechanism:
        `the same ${REPLICAS} nodes keep a slice; histories of paused programs stay in the log by offset`,
    },
    {
      role: "configuration",
      workload:
        `${SCALE.changesPerDay} changes a day of a document with ${SCALE.customers} customers, read and checked`,
      coreShare: coreShareOf(
        SCALE.changesPerDay / SECONDS_PER_DAY * SCALE.customers *
          slopeOf("configuration change"),
      ),
      bytesPerSecond: SCALE.changesPerDay / SECONDS_PER_DAY * changeBytes,
      megabytes: 2 * changeBytes / BYTES_PER_MEGABYTE,
      requiredMechanism: "publish differences; customers in a document of their own",
    },
    {
      role: "routing knowledge",
      workload:
        `${enginesPerRegion} engines of a region polled ${POLLS_PER_SECOND} times a second by every node`,
      coreShare: coreShareOf(enginesPerRegion * slopeOf("idle, by engines")),
      bytesPerSecond: enginesPerRegion * pollBytes,
      megabytes: enginesPerRegion * slopeOf("heap per engine") / BYTES_PER_MEGABYTE,
      requiredMechanism:
        "one node of a zone polls an engine and passes a digest on; choices among the warm engine and a sample of 16",
    },
    {
      role: "choice of engines",
      workload: `${SCALE.callsPerSecond / SCALE.nodes} choices a second over ${enginesPerRegion} engines`,
      coreShare: coreShareOf(
        SCALE.callsPerSecond / SCALE.nodes * enginesPerRegion * slopeOf("choice of an engine"),
      ),
      bytesPerSecond: 0,
      megabytes: 0,
      requiredMechanism: "the same sample",
    },
    {
      role: "KV reconciliation and placement",
      workload: `${SCALE.engines / SCALE.nodes} engines a node, their holdings every 3 s`,
      coreShare: coreShareOf(
        SCALE.engines / SCALE.nodes * slopeOf("idle, by engines") / POLLS_PER_SECOND / 2 / 3,
      ),
      bytesPerSecond: SCALE.engines / SCALE.nodes / 3 *
        (SCALE.programs / SCALE.engines) * KV_ENTRY_BYTES,
      megabytes: 0.1,
      requiredMechanism: "holdings as a filter, whole only when it differs",
    },
  ];
}

function compareWithLimit(cost: IRoleCost): string {
  const largestRatio = Math.max(
    cost.coreShare / CONTROL_LIMIT.coreShare,
    cost.bytesPerSecond / CONTROL_LIMIT.bytesPerSecond,
    cost.megabytes / CONTROL_LIMIT.megabytes,
  );
  return largestRatio <= 1 ? "within" : `${largestRatio.toFixed(largestRatio < 10 ? 1 : 0)} times over`;
}

function markdownTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  return [header, header.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");
}

function render(): string {
  const costs = controlPlaneCosts();
  const { endToEnd } = measured;
  const perCallMicros = slopeOf("processor time per call");
  const callsPerNode = SCALE.callsPerSecond / SCALE.nodes;
  const appendsPerNode = REGION_APPENDS_PER_SECOND / nodesPerRegion;
  const sumCosts = (read: (cost: IRoleCost) => number) =>
    costs.reduce((total, cost) => total + read(cost), 0);
  return `# Capacity

Worked out by \`bench/capacity.ts\` from the slopes in \`${SLOPES_FILE}\`, which \`npm run bench:slopes\` measures. To make
this page again: \`npm run bench:slopes -- --out ${SLOPES_FILE}\`, then \`npm run capacity\`. One machine, stand-ins for
the platform and the backend servers. Nothing here was run at the size that it speaks of.

## Size

${SCALE.nodes} nodes in ${SCALE.regions} regions and ${SCALE.zones} availability zones, before ${SCALE.engines} runners;
${SCALE.callsPerSecond} requests a second at the peak; ${SCALE.programs} programs under way, with ${MEAN_TURNS_PER_PROGRAM} turns of 380
tokens on average (an assumption); ${SCALE.customers} customers; ${SCALE.changesPerDay} configuration changes and
${SCALE.restartsPerDay} restarts and failures a day. Views and journals are per region: ${nodesPerRegion} nodes each.
For control, a node may spend ${
    CONTROL_LIMIT.coreShare * 100
  } % of a core, ${CONTROL_LIMIT.megabytes} MB and ${CONTROL_LIMIT.bytesPerSecond / 1000} KB/s.

## Slopes

${
    markdownTable(
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
    markdownTable(
      [
        "Role",
        "What it does at that size",
        "Core",
        "KB/s",
        "MB",
        "Against the limit",
        "Mechanism that would carry it",
      ],
      costs.map((cost) => [
        cost.role,
        cost.workload,
        `${(cost.coreShare * 100).toFixed(2)} %`,
        (cost.bytesPerSecond / 1000).toFixed(2),
        cost.megabytes.toFixed(1),
        compareWithLimit(cost),
        cost.requiredMechanism || "today's",
      ]),
    )
  }

Together: ${(sumCosts((cost) => cost.coreShare) * 100).toFixed(1)} % of a core, ${
    (sumCosts((cost) => cost.bytesPerSecond) / 1000).toFixed(0)
  } KB/s and ${
    sumCosts((cost) => cost.megabytes).toFixed(0)
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
- Tokens are one event each. ${1_400_000 / SCALE.nodes} tokens a second and node are not measured yet.

## Appends

Under load a call took ${
    endToEnd.appendsPerCall.toFixed(2)
  } appends; an instance has one under way at a time, and its
records gather meanwhile. With ${REGION_APPENDS_PER_SECOND} appends a second for a region, each of ${nodesPerRegion} nodes has ${
    appendsPerNode.toFixed(0)
  } a second, so a record waits up to ${
    (1000 / appendsPerNode).toFixed(0)
  } ms. With one relay for each availability zone
(${(SCALE.zones / SCALE.regions).toFixed(1)} a region) that gathers its zone's records, the wait is ${
    (1000 / (REGION_APPENDS_PER_SECOND / (SCALE.zones / SCALE.regions))).toFixed(0)
  } ms. The relay call exists for instances that are cut off from the log; it is not used for this yet.

## Failures

- ${SCALE.restartsPerDay} restarts and failures a day make about ${
    2 * SCALE.restartsPerDay / SCALE.regions
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

writeFileSync(OUTPUT_FILE, render());
console.log(`Wrote ${OUTPUT_FILE}`);
