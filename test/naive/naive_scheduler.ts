/** Reference model for the differential test: a sequential scheduler in one process, without failures. */
import { expectedAnswerTokens } from "../stand_ins/engine_core.ts";
import { serviceAnswer } from "../stand_ins/service_core.ts";

export enum OpKind {
  Model = "model",
  Read = "read",
  Act = "act",
}

/** One call of a program. */
export interface IOp {
  readonly kind: OpKind;
  /** Number of tokens requested from the model, or the content of a service request. */
  readonly size: number;
}

/** Result of a call: the answer, or that the budget is exhausted. */
export interface INaiveCallResult {
  readonly answer: string;
  readonly isExhausted: boolean;
}

interface INaiveProgram {
  readonly messages: { content: string }[];
  readonly budget: number;
  spent: number;
}

/** Returns the message of a model call. */
export function contentOf(op: IOp, step: number): string {
  return `answer:${op.size} step ${step}`;
}

/** Returns the body of a service call. */
export function bodyOf(op: IOp, step: number): string {
  return JSON.stringify({ size: op.size, step });
}

export class NaiveScheduler {
  readonly #programs = new Map<string, INaiveProgram>();
  /** Number of executions of non-repeatable calls, by program and step. */
  readonly executions = new Map<string, number>();

  open(id: string, budget: number): void {
    this.#programs.set(id, { messages: [], budget, spent: 0 });
  }

  run(id: string, { op, step }: { op: IOp; step: number }): INaiveCallResult {
    const program = this.#programs.get(id)!;
    if (op.kind !== OpKind.Model) {
      if (op.kind === OpKind.Act) this.executions.set(`${id}#${step}`, 1);
      const body = new TextEncoder().encode(bodyOf(op, step));
      return { answer: new TextDecoder().decode(serviceAnswer(op.kind, body)), isExhausted: false };
    }
    const remainingTokens = program.budget - program.spent;
    if (remainingTokens <= 0) return { answer: "", isExhausted: true };
    program.messages.push({ content: contentOf(op, step) });
    const tokens = expectedAnswerTokens(program.messages, Math.min(op.size, remainingTokens));
    program.spent += tokens.length;
    program.messages.push({ content: tokens.join("") });
    return { answer: tokens.join(""), isExhausted: false };
  }

  spentBy(id: string): number {
    return this.#programs.get(id)!.spent;
  }
}
