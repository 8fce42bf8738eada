/** Accounting of a program's budget. Nothing is spent that was not granted in the journal before. */
import { create } from "@bufbuild/protobuf";
import type { Budget, Grant } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { GrantSchema } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";

/** An amount of budget. */
export interface ICharge {
  readonly tokens: number;
  readonly calls: number;
}

export const NO_CHARGE: ICharge = { tokens: 0, calls: 0 };

function add(a: ICharge, b: ICharge): ICharge {
  return { tokens: a.tokens + b.tokens, calls: a.calls + b.calls };
}

function fits(charge: ICharge, limit: ICharge): boolean {
  return charge.tokens <= limit.tokens && charge.calls <= limit.calls;
}

function atMost(charge: ICharge, limit: ICharge): ICharge {
  return { tokens: Math.min(charge.tokens, limit.tokens), calls: Math.min(charge.calls, limit.calls) };
}

/**
 * Ledger of one program with its sub-programs. Granted, settled and burned amounts follow from the
 * journal and are the same on every instance; reservations exist on the owner alone.
 */
export class BudgetLedger {
  readonly #limit: ICharge;
  #granted = NO_CHARGE;
  #settled = NO_CHARGE;
  #burned = NO_CHARGE;
  #reserved = NO_CHARGE;

  constructor(budget: Budget) {
    this.#limit = {
      tokens: budget.generatedTokens === 0 ? Infinity : budget.generatedTokens,
      calls: budget.calls === 0 ? Infinity : budget.calls,
    };
  }

  /** Spent for good: settled, or burned with an owner that died. */
  get spent(): ICharge {
    return add(this.#settled, this.#burned);
  }

  get reserved(): ICharge {
    return this.#reserved;
  }

  /** Whether the limit leaves room for a charge. */
  hasRoom(charge: ICharge): boolean {
    return fits(add(this.#committed(), charge), this.#limit);
  }

  /** Whether the amounts granted in the journal cover a charge. */
  isGranted(charge: ICharge): boolean {
    return fits(add(this.#committed(), charge), this.#granted);
  }

  /** Largest number of tokens that may still be reserved. */
  get roomTokens(): number {
    return this.#limit.tokens - this.#committed().tokens;
  }

  reserve(charge: ICharge): void {
    this.#reserved = add(this.#reserved, charge);
  }

  release(charge: ICharge): void {
    this.#reserved = add(this.#reserved, { tokens: -charge.tokens, calls: -charge.calls });
  }

  /** Records a spent amount, from the journal. */
  settle(charge: ICharge): void {
    this.#settled = add(this.#settled, charge);
  }

  /** Applies a grant, from the journal. Amounts never shrink. */
  applyGrant(grant: Grant): void {
    this.#granted = {
      tokens: Math.max(this.#granted.tokens, grant.generatedTokens),
      calls: Math.max(this.#granted.calls, grant.calls),
    };
    this.#burned = {
      tokens: Math.max(this.#burned.tokens, grant.burnedTokens),
      calls: Math.max(this.#burned.calls, grant.burnedCalls),
    };
  }

  /** The grant that covers what is committed and `ahead` more, within the limit. */
  makeGrant(programId: string, ahead: ICharge): Grant {
    const wanted = atMost(add(this.#committed(), ahead), this.#limit);
    return create(GrantSchema, {
      programId,
      generatedTokens: Math.max(wanted.tokens, this.#granted.tokens),
      calls: Math.max(wanted.calls, this.#granted.calls),
      burnedTokens: this.#burned.tokens,
      burnedCalls: this.#burned.calls,
    });
  }

  /** The grants in force, for a snapshot. */
  toGrant(programId: string): Grant {
    return this.makeGrant(programId, NO_CHARGE);
  }

  /**
   * Counts what an earlier owner was granted and did not settle as spent. The result must be granted
   * in the journal before anything is dispatched.
   */
  burnUnsettled(): void {
    this.#burned = {
      tokens: this.#granted.tokens - this.#settled.tokens,
      calls: this.#granted.calls - this.#settled.calls,
    };
    this.#reserved = NO_CHARGE;
  }

  #committed(): ICharge {
    return add(add(this.#settled, this.#burned), this.#reserved);
  }
}
