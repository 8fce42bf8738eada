/** Accounting of a program's budget. Budget must be granted in the journal before it is spent. */
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

function capCharge(charge: ICharge, limit: ICharge): ICharge {
  return { tokens: Math.min(charge.tokens, limit.tokens), calls: Math.min(charge.calls, limit.calls) };
}

/**
 * Ledger of one program and its sub-programs. Granted, settled and burned amounts are derived from the
 * journal and are the same on every instance. Reservations exist only on the owner.
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

  /** Amount that cannot be returned: settled, or burned because the owner that held it failed. */
  get spent(): ICharge {
    return add(this.#settled, this.#burned);
  }

  get reserved(): ICharge {
    return this.#reserved;
  }

  /** Whether a charge fits within the limit. */
  hasRoom(charge: ICharge): boolean {
    return fits(add(this.#committed(), charge), this.#limit);
  }

  /** Whether the amounts granted in the journal cover a charge in addition to what is committed. */
  isCoveredByGrant(charge: ICharge): boolean {
    return fits(add(this.#committed(), charge), this.#granted);
  }

  /** Number of tokens that may still be reserved. */
  get roomTokens(): number {
    return this.#limit.tokens - this.#committed().tokens;
  }

  reserve(charge: ICharge): void {
    this.#reserved = add(this.#reserved, charge);
  }

  release(charge: ICharge): void {
    this.#reserved = add(this.#reserved, { tokens: -charge.tokens, calls: -charge.calls });
  }

  /** Applies a spent amount from the journal. */
  settle(charge: ICharge): void {
    this.#settled = add(this.#settled, charge);
  }

  /** Applies a grant from the journal. Granted and burned amounts never decrease. */
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

  /** Makes a grant of the committed amount plus `headroom`, up to the limit. Never lowers a grant. */
  makeGrant(programId: string, headroom: ICharge): Grant {
    const granted = capCharge(add(this.#committed(), headroom), this.#limit);
    return create(GrantSchema, {
      programId,
      generatedTokens: Math.max(granted.tokens, this.#granted.tokens),
      calls: Math.max(granted.calls, this.#granted.calls),
      burnedTokens: this.#burned.tokens,
      burnedCalls: this.#burned.calls,
    });
  }

  /** Makes a grant of the committed amount. Never lowers a grant. */
  toGrant(programId: string): Grant {
    return this.makeGrant(programId, NO_CHARGE);
  }

  /**
   * Counts what a previous owner was granted but did not settle as spent. The result must be granted in
   * the journal before a call is dispatched.
   */
  burnUnsettled(): void {
    this.#burned = {
      tokens: this.#granted.tokens - this.#settled.tokens,
      calls: this.#granted.calls - this.#settled.calls,
    };
    this.#reserved = NO_CHARGE;
  }

  /** Amount that is settled, burned or reserved. */
  #committed(): ICharge {
    return add(add(this.#settled, this.#burned), this.#reserved);
  }
}
