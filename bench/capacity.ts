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
      workload:
        `${peers} peers in a region, one exchange with each ${HEARTBEATS_PER_SECOND} times per second`,
      coreShare: coreShareOf(peers * perPeerMicros),
      bytesPerSecond: peers * heartbeatBytes,
      megabytes: 0.1,
      requiredMechanism:
        "each node monitors 3 others in rings of availability zones, once per second; heartbeats carry membership changes",
    },
    {
      role: "membership: views",
      workload:
        `${SCALE.restartsPerDay} restarts and failures per day, each with two views of ${nodesPerRegion} members`,
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
      workload: `${callsPerRegion} turns per second in a region, read by every node`,
      coreShare: coreShareOf(callsPerRegion * slopeOf("journal read")),
      bytesPerSecond: callsPerRegion * slopeOf("journal batch"),
      megabytes: 0,
      requiredMechanism: `one stream per group of slices, read by the owner and its first ${
        REPLICAS - 1
      } successors: about 1/${Math.round(1 / replicaShare)} of the records per node`,
    },
    {
      role: "programs: state of the region",
      workload:
        `${programsPerRegion} programs with ${MEAN_TURNS_PER_PROGRAM} turns on average, kept by every node`,
      coreShare: 0,
      bytesPerSecond: 0,
      megabytes: programsPerRegion * programBytes / BYTES_PER_MEGABYTE,
      requiredMechanism:
        `the same ${REPLICAS} nodes keep a slice; histories of paused programs stay in the log, referenced by offset`,
    },
    {
      role: "configuration",
      workload:
        `${SCALE.changesPerDay} changes per day to a document with ${SCALE.customers} customers, read and validated`,
      coreShare: coreShareOf(
        SCALE.changesPerDay / SECONDS_PER_DAY * SCALE.customers *
          slopeOf("configuration change"),
      ),
      bytesPerSecond: SCALE.changesPerDay / SECONDS_PER_DAY * changeBytes,
      megabytes: 2 * changeBytes / BYTES_PER_MEGABYTE,
      requiredMechanism: "publish only the differences; keep customers in a separate document",
    },
    {
      role: "routing: engine load reports",
      workload:
        `${enginesPerRegion} engines in a region, polled ${POLLS_PER_SECOND} times per second by every node`,
      coreShare: coreShareOf(enginesPerRegion * slopeOf("idle, by engines")),
      bytesPerSecond: enginesPerRegion * pollBytes,
      megabytes: enginesPerRegion * slopeOf("heap per engine") / BYTES_PER_MEGABYTE,
      requiredMechanism:
        "one node per zone polls an engine and distributes a digest; candidates are the engine that has cached the prefix and a sample of 16",
    },
    {
      role: "engine selection",
      workload: `${
        SCALE.callsPerSecond / SCALE.nodes
      } selections per second among ${enginesPerRegion} engines`,
      coreShare: coreShareOf(
        SCALE.callsPerSecond / SCALE.nodes * enginesPerRegion * slopeOf("choice of an engine"),
      ),
      bytesPerSecond: 0,
      megabytes: 0,
      requiredMechanism: "the same candidates",
    },
    {
      role: "KV reconciliation and placement",
      workload: `${SCALE.engines / SCALE.nodes} engines per node, whose cache entries are listed every 3 s`,
      coreShare: coreShareOf(
        SCALE.engines / SCALE.nodes * slopeOf("idle, by engines") / POLLS_PER_SECOND / 2 / 3,
      ),
      bytesPerSecond: SCALE.engines / SCALE.nodes / 3 *
        (SCALE.programs / SCALE.engines) * KV_ENTRY_BYTES,
      megabytes: 0.1,
      requiredMechanism: "list the cache entries as a filter, and in full only if the filter differs",
    },
  ];
}

/** Size of one entry in an engine's list of KV cache entries. */
const KV_ENTRY_BYTES = 60;

function compareWithLimit(cost: IRoleCost): string {
  const largestRatio = Math.max(
    cost.coreShare / CONTROL_LIMIT.coreShare,
    cost.bytesPerSecond / CONTROL_LIMIT.bytesPerSecond,
    cost.megabytes / CONTROL_LIMIT.megabytes,
  );
  return largestRatio <= 1 ? "within" : `${largestRatio.toFixed(largestRatio < 10 ? 1 : 0)} times the limit`;
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

Generated by \`bench/capacity.ts\` from the slopes in \`${SLOPES_FILE}\`, which \`npm run bench:slopes\` measures. To
regenerate this page, run \`npm run bench:slopes -- --out ${SLOPES_FILE}\` and then \`npm run capacity\`. The slopes are
measured on one machine, with fakes of the platform and the backend servers. The figures for the target scale are
extrapolated; nothing was run at that scale.

## Scale

${SCALE.nodes} nodes in ${SCALE.regions} regions and ${SCALE.zones} availability zones, with ${SCALE.engines} engines;
${SCALE.callsPerSecond} requests per second at peak; ${SCALE.programs} open programs, assumed to have ${MEAN_TURNS_PER_PROGRAM} turns of 380
tokens on average; ${SCALE.customers} customers; ${SCALE.changesPerDay} configuration changes and
${SCALE.restartsPerDay} restarts and failures per day. Each region, of ${nodesPerRegion} nodes, has its own views and journal.
Control-plane work on a node is limited to ${
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

## Control-plane cost per role on one node, with the current mechanisms

${
    markdownTable(
      [
        "Role",
        "Workload at this scale",
        "Core",
        "KB/s",
        "MB",
        "Compared with the limit",
        "Mechanism for this scale",
      ],
      costs.map((cost) => [
        cost.role,
        cost.workload,
        `${(cost.coreShare * 100).toFixed(2)} %`,
        (cost.bytesPerSecond / 1000).toFixed(2),
        cost.megabytes.toFixed(1),
        compareWithLimit(cost),
        cost.requiredMechanism || "the current one",
      ]),
    )
  }

Total: ${(sumCosts((cost) => cost.coreShare) * 100).toFixed(1)} % of a core, ${
    (sumCosts((cost) => cost.bytesPerSecond) / 1000).toFixed(0)
  } KB/s and ${
    sumCosts((cost) => cost.megabytes).toFixed(0)
  } MB. The current mechanisms are designed for 10 to 12
instances and do not scale to this size. The first to be replaced are those by which every node reads every
record, keeps every program and polls every engine.

## Data path

- A model call costs ${perCallMicros.toFixed(0)} µs of the instances' processor time, ${
    endToEnd.callsPerCoreSecond.toFixed(0)
  } calls per core-second. ${callsPerNode} calls per second and node use ${
    (callsPerNode * perCallMicros / 10_000).toFixed(1)
  } % of a core.
- A direct call to the fake engine took ${endToEnd.directP50Ms.toFixed(1)} ms (p50) and ${
    endToEnd.directP99Ms.toFixed(1)
  } ms (p99), a call through the system ${endToEnd.throughP50Ms.toFixed(1)} and ${
    endToEnd.throughP99Ms.toFixed(1)
  } ms: ${
    (endToEnd.throughP50Ms - endToEnd.directP50Ms).toFixed(1)
  } ms more at p50, including one journal record.
- Each token is one event. A rate of ${
    1_400_000 / SCALE.nodes
  } tokens per second and node has not been measured yet.

## Appends

Under load, a call took ${
    endToEnd.appendsPerCall.toFixed(2)
  } appends; an instance sends one append at a time, and its
records accumulate meanwhile. With ${REGION_APPENDS_PER_SECOND} appends per second for a region, each of ${nodesPerRegion} nodes has ${
    appendsPerNode.toFixed(0)
  } per second, so a record waits up to ${
    (1000 / appendsPerNode).toFixed(0)
  } ms. With one relay per availability zone
(${(SCALE.zones / SCALE.regions).toFixed(1)} per region) that batches the records of its zone, the wait is ${
    (1000 / (REGION_APPENDS_PER_SECOND / (SCALE.zones / SCALE.regions))).toFixed(0)
  } ms. The relay call exists for instances that cannot reach the log; it is not used for this purpose yet.

## Failures

- ${SCALE.restartsPerDay} restarts and failures per day cause about ${
    2 * SCALE.restartsPerDay / SCALE.regions
  } views per day in a region.
- The loss of a whole zone causes one view change, after the failure timeout; the remaining members take over its slices.
- A region that is isolated for an hour continues on its own: it has its own views, journal and configuration stream. A
  configuration published in another region must also be published to its log; this is not implemented yet.
- With 64 slices for ${nodesPerRegion} nodes, some nodes own no slice; ${
    nodesPerRegion * 10
  } slices would be needed.

## Not measured

Time to the first token and between tokens at this scale, memory use with 280,000 tokens of history, cross-region
traffic, collection of logs and metrics, and the load balancer in front.
`;
}

writeFileSync(OUTPUT_FILE, render());
console.log(`Wrote ${OUTPUT_FILE}`);
