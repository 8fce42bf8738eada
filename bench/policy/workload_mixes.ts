/** Workload mixes of the two example deployments that the policy benchmark simulates. */
import { readFileSync } from "node:fs";
import type { Configuration } from "../../src/services/settings/common/gen/configuration.ts";
import { parseConfiguration } from "../../src/services/settings/common/validation.ts";

/** A kind of program with its share of the mix. Values are drawn uniformly from the ranges. */
export interface IProgramKind {
  readonly kind: string;
  readonly customer: string;
  readonly share: number;
  readonly turns: readonly [number, number];
  /** Size of the first message. */
  readonly firstTokens: readonly [number, number];
  /** Size of each later message. */
  readonly addedTokens: readonly [number, number];
  readonly answerTokens: readonly [number, number];
  readonly pauseMs: readonly [number, number];
  /** Time from the start of a program to its deadline, in ms; 0 for none. */
  readonly timeToDeadlineMs: number;
}

/** The engines of a deployment, its configuration and the kinds of its programs. */
export interface IWorkloadMix {
  readonly name: string;
  readonly engines: number;
  readonly model: string;
  readonly configuration: Configuration;
  readonly kinds: readonly IProgramKind[];
}

const EXAMPLES_URL = new URL("../../../examples/", import.meta.url);

function readConfiguration(name: string): Configuration {
  return parseConfiguration(readFileSync(new URL(`${name}/configuration.jsonc`, EXAMPLES_URL), "utf8"), name);
}

export const WORKLOAD_MIXES: readonly IWorkloadMix[] = [
  {
    name: "brigalow",
    engines: 10,
    model: "agent-models",
    configuration: readConfiguration("brigalow"),
    kinds: [
      {
        kind: "appraisal",
        customer: "landholders",
        share: 0.7,
        turns: [2, 4],
        firstTokens: [600, 1500],
        addedTokens: [100, 400],
        answerTokens: [30, 80],
        pauseMs: [200, 1500],
        timeToDeadlineMs: 30_000,
      },
      {
        kind: "reconciliation",
        customer: "sawmills",
        share: 0.3,
        turns: [6, 12],
        firstTokens: [1500, 4000],
        addedTokens: [500, 1500],
        answerTokens: [60, 140],
        pauseMs: [500, 3000],
        timeToDeadlineMs: 0,
      },
    ],
  },
  {
    name: "association",
    engines: 8,
    model: "dil-sunucu",
    configuration: readConfiguration("association"),
    kinds: [
      {
        kind: "compliance",
        customer: "members",
        share: 0.6,
        turns: [2, 4],
        firstTokens: [2500, 3500],
        addedTokens: [50, 200],
        answerTokens: [60, 120],
        pauseMs: [200, 1500],
        timeToDeadlineMs: 0,
      },
      {
        kind: "colour-matching",
        customer: "buyers",
        share: 0.4,
        turns: [8, 14],
        firstTokens: [400, 800],
        addedTokens: [200, 600],
        answerTokens: [40, 100],
        pauseMs: [1500, 8000],
        timeToDeadlineMs: 0,
      },
    ],
  },
];
