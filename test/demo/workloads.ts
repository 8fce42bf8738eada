/** Workloads of the two deployments that the demo runs. */
import { readFileSync } from "node:fs";
import type { IDeploymentPlan } from "../harness/processes.ts";
import { sleep } from "../harness/processes.ts";
import type { ProgramCaller } from "../harness/caller.ts";
import type { SeededRandom } from "./random.ts";

const EXAMPLES = new URL("../../../examples/", import.meta.url);
const DEADLINE_MS = 60_000;

/** Script of a program, from opening it to ending it. */
export interface IScript {
  readonly kind: string;
  readonly customer: string;
  run(ctx: IScriptContext): Promise<void>;
}

export interface IScriptContext {
  /** Identifies the run of the script; idempotency keys and request contents derive from it. */
  readonly key: string;
  readonly random: SeededRandom;
  readonly caller: ProgramCaller;
  /** Creates the caller of a sub-program. */
  readonly newCaller: () => ProgramCaller;
}

/** Deployment with the mix of programs that runs on it. */
export interface IWorkload {
  readonly plan: IDeploymentPlan;
  /** Scripts with their share of the programs. */
  readonly mix: readonly { readonly script: IScript; readonly share: number }[];
}

function readExample(name: string): string {
  return readFileSync(new URL(`${name}/configuration.jsonc`, EXAMPLES), "utf8");
}

/** Returns random text of about the given number of tokens. */
function randomText(random: SeededRandom, tokens: number): string {
  return Array.from({ length: tokens }, () => `t${random.nextInt(900) + 100}`).join("");
}

function simulateToolUse(random: SeededRandom): Promise<void> {
  return sleep(5 + random.nextInt(40));
}

const APPRAISAL: IScript = {
  kind: "appraisal",
  customer: "landholders",
  async run({ caller, key, random }) {
    await caller.open({ kind: "appraisal", deadline_ms: Date.now() + DEADLINE_MS }, key);
    await caller.callService("auction-api/lot-notes", { body: { lot: key } });
    await caller.callModel("agent-models", {
      content: randomText(random, 120),
      maxTokens: 32,
      stream: false,
    });
    await simulateToolUse(random);
    await caller.callModel("agent-models", { content: randomText(random, 40), maxTokens: 32, stream: true });
    await caller.callService("auction-api/lodge-bid", {
      body: { lot: key, bid: random.nextInt(1000) },
      key: `bid-${key}`,
    });
    await caller.callService("auction-api/hold-deposit", { body: { lot: key } });
    await caller.end();
  },
};

const RECONCILIATION: IScript = {
  kind: "reconciliation",
  customer: "sawmills",
  async run({ caller, key, random, newCaller }) {
    await caller.open({ kind: "reconciliation", budget: { generated_tokens: 5000 } }, key);
    for (let turn = 0; turn < 5; turn++) {
      await caller.callService("auction-api/haul-permits", { body: { page: turn } });
      await caller.callModel("agent-models", {
        content: randomText(random, 200),
        maxTokens: 48,
        stream: turn % 2 === 0,
      });
      await simulateToolUse(random);
    }
    const children = [0, 1].map(async (index) => {
      const child = newCaller();
      await child.open({ kind: "appraisal", parent: caller.id }, `${key}-${index}`);
      await child.callModel("agent-models", {
        content: randomText(random, 60),
        maxTokens: 24,
        stream: false,
      });
      await child.callService("auction-api/lot-status", { body: { lot: `${key}-${index}` } });
      await child.end();
    });
    await Promise.all(children);
    await caller.callModel("agent-models", { content: randomText(random, 50), maxTokens: 64, stream: true });
    await caller.end();
  },
};

const COMPLIANCE: IScript = {
  kind: "compliance",
  customer: "members",
  async run({ caller, key, random }) {
    await caller.open({ kind: "compliance" }, key);
    await caller.callService("uye-servis/regulation-pack", { body: { part: random.nextInt(5) } });
    await caller.callModel("dil-sunucu", { content: randomText(random, 300), maxTokens: 40, stream: true });
    await simulateToolUse(random);
    await caller.callModel("dil-sunucu", { content: randomText(random, 30), maxTokens: 40, stream: false });
    await caller.callService("uye-servis/send-sheet", { body: { sheet: key }, key: `sheet-${key}` });
    await caller.end();
  },
};

const COLOUR_MATCHING: IScript = {
  kind: "colour-matching",
  customer: "buyers",
  async run({ caller, key, random }) {
    await caller.open({ kind: "colour-matching" }, key);
    for (let turn = 0; turn < 8; turn++) {
      await caller.callModel("dil-sunucu", {
        content: randomText(random, 80),
        maxTokens: 32,
        stream: turn % 2 === 0,
      });
      await simulateToolUse(random);
    }
    await caller.callService("uye-servis/price-list", { body: { colour: random.nextInt(100) } });
    await caller.callService("uye-servis/forward-order", {
      body: { drums: 1 + random.nextInt(9) },
      key: `order-${key}`,
    });
    await caller.end();
  },
};

/** Workloads by deployment name. */
export const WORKLOADS: Readonly<Record<string, IWorkload>> = {
  brigalow: {
    plan: {
      region: "qld-east",
      zones: ["qld-east-a", "qld-east-b", "qld-east-c"],
      daemons: 6,
      engines: { count: 10, models: "agent-models" },
      services: { count: 6, name: "auction-api" },
      customers: ["sawmills", "landholders"],
      configuration: readExample("brigalow"),
    },
    mix: [{ script: APPRAISAL, share: 0.7 }, { script: RECONCILIATION, share: 0.3 }],
  },
  association: {
    plan: {
      region: "marmara",
      zones: ["marmara-a", "marmara-b", "marmara-c"],
      daemons: 6,
      engines: { count: 8, models: "dil-sunucu" },
      services: { count: 5, name: "uye-servis" },
      customers: ["members", "buyers"],
      configuration: readExample("association"),
    },
    mix: [{ script: COMPLIANCE, share: 0.6 }, { script: COLOUR_MATCHING, share: 0.4 }],
  },
};
