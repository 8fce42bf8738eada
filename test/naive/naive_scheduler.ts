/** A scheduler without failures: one process, plain maps, strictly in order. The measure for the real one. */
import { answerTo } from "../stand_ins/engine_core.ts";
import { serviceAnswer } from "../stand_ins/service_core.ts";

export enum OpKind {
  Model = "model",
  Read = "read",
  Act = "act",
}

/** One call of a program. */
export interface IOp {
  readonly kind: OpKind;
  /** Tokens that the model is asked for, or the content of a service request. */
  readonly size: number;
}

/** What a caller sees of a call: the answer, or that the budget is spent. */
export interface INaiveResult {
  readonly answer: string;
  readonly isExhausted: boolean;
}

interface INaiveProgram {
  readonly messages: { content: string }[];
  readonly budget: number;
  spent: number;
}

/** Text of the message that a model call sends. */
export function contentOf(op: IOp, step: number): string {
  return `answer:${op.size} step ${step}`;
}

/** Body that a service call sends. */
export function bodyOf(op: IOp, step: number): string {
  return JSON.stringify({ size: op.size, step });
}

export class NaiveScheduler {
  readonly #programs = new Map<string, INaiveProgram>();
  /** Executions of calls that may not be repeated, by program and step. */
  readonly executions = new Map<string, number>();

  open(id: string, budget: number): void {
    this.#programs.set(id, { messages: [], budget, spent: 0 });
  }

  run(id: string, { op, step }: { op: IOp; step: number }): INaiveResult {
    const program = this.#programs.get(id)!;
    if (op.kind !== OpKind.Model) {
      if (op.kind === OpKind.Act) this.executions.set(`${id}#${step}`, 1);
      const body = new TextEncoder().encode(bodyOf(op, step));
      return { answer: new TextDecoder().decode(serviceAnswer(op.kind, body)), isExhausted: false };
    }
    const room = program.budget - program.spent;
    if (room <= 0) return { answer: "", isExhausted: true };
    program.messages.push({ content: contentOf(op, step) });
    const tokens = answerTo(program.messages, Math.min(op.size, room));
    program.spent += tokens.length;
    program.messages.push({ content: tokens.join("") });
    return { answer: tokens.join(""), isExhausted: false };
  }

  spentBy(id: string): number {
    return this.#programs.get(id)!.spent;
  }
}
