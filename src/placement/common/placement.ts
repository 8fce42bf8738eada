/** Gives engines the orders that the configuration asks for, each by one instance and fenced. */
import { create } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  OrderAction,
  OrderFinishedSchema,
  OrderIssuedSchema,
  RecordSchema,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Membership } from "../../membership/common/membership.ts";
import { isSameRun } from "../../membership/common/view.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import { ORDER_LIFETIME_MS } from "../../program/common/order_table.ts";
import type { BackendRegistry } from "../../routing/common/backend_registry.ts";
import type { EngineState } from "../../routing/common/engine_state.ts";
import { EngineOrderAction } from "../../routing/common/model_engine.ts";
import type { IPlannedOrder } from "./placement_plan.ts";
import { planOrders } from "./placement_plan.ts";

const INTERVAL_MS = 1000;
const READ_BACK_INTERVAL_MS = 500;

export interface IPlacementOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly membership: Membership;
  readonly registry: BackendRegistry;
  readonly configuration: IConfigurationSource;
  readonly decisions: IDecisionLog;
  readonly leaseMs: number;
}

export class Placement {
  readonly #opts: IPlacementOptions;
  readonly #busy = new Set<string>();
  #viewChangedAt = 0;

  constructor(opts: IPlacementOptions) {
    this.#opts = opts;
  }

  /** Compares plan and engines until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const clock = yield* Clock.Clock;
      this.#opts.state.views.onDidChangeView(() => this.#viewChangedAt = clock.currentTimeMillisUnsafe());
      const repeat = Effect.gen({ self: this }, function* () {
        while (true) {
          yield* Effect.sleep(INTERVAL_MS);
          for (const planned of this.#dueOrders(yield* Clock.currentTimeMillis)) {
            yield* Effect.forkIn(this.#carryOut(planned), scope);
          }
        }
      });
      yield* Effect.forkScoped(repeat);
    });
  }

  #dueOrders(now: number): IPlannedOrder[] {
    const { configuration, registry } = this.#opts;
    if (configuration.current === undefined) return [];
    const planned = planOrders(configuration.current, registry.engines);
    return planned.filter(({ engine }) =>
      this.#isOwn(engine) && !this.#busy.has(engine.id) && this.#isSafe(engine, now)
    );
  }

  /** An engine that does not check tokens gets no order while the lease of an earlier giver may last. */
  #isSafe({ id }: EngineState, now: number): boolean {
    const ignores = this.#opts.configuration.current?.placement.fencingIgnoredBy.includes(id) === true;
    return !ignores || now - this.#viewChangedAt > this.#opts.leaseMs;
  }

  /** Each engine gets its orders from one member. */
  #isOwn({ id }: EngineState): boolean {
    return isSameRun(this.#opts.state.views.current?.actorFor(id), this.#opts.self);
  }

  #carryOut(planned: IPlannedOrder): Effect.Effect<void> {
    const { engine } = planned;
    this.#busy.add(engine.id);
    const work = Effect.gen({ self: this }, function* () {
      const fencingToken = yield* this.#issue(planned);
      if (fencingToken === undefined) return;
      this.#log(planned, fencingToken);
      // Some engines do not check the token, so the right to give orders is checked right before.
      const mayOrder = (yield* this.#opts.membership.mayDispatch()) && this.#isOwn(engine);
      if (mayOrder) yield* this.#send(planned, fencingToken);
      const value = create(OrderFinishedSchema, { backendId: engine.id, fencingToken });
      this.#opts.journal.append(create(RecordSchema, { body: { case: "orderFinished", value } }));
    });
    return Effect.ensuring(work, Effect.sync(() => this.#busy.delete(engine.id)));
  }

  /** Records the order; returns its fencing token, or undefined if it does not count. */
  #issue({ engine, action, model }: IPlannedOrder): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* () {
      const value = create(OrderIssuedSchema, {
        backendId: engine.id,
        action: action === EngineOrderAction.LoadModel ? OrderAction.LOAD_MODEL : OrderAction.UNLOAD_MODEL,
        model,
        issuedAtMs: yield* Clock.currentTimeMillis,
        loadsAtOnce: this.#opts.configuration.current?.placement.loadsAtOnce ?? 1,
      });
      const record = create(RecordSchema, { body: { case: "order", value } });
      const { accepted, offset } = yield* this.#opts.journal.append(record).receipt;
      return accepted ? offset : undefined;
    });
  }

  /** Sends the order and reads back until the engine shows that it was carried out. */
  #send({ engine, action, model }: IPlannedOrder, fencingToken: number): Effect.Effect<void> {
    const isDone = () => engine.report?.models.includes(model) === (action === EngineOrderAction.LoadModel);
    const readBack = Effect.gen({ self: this }, function* () {
      const now = () => Clock.currentTimeMillis;
      const until = (yield* now()) + ORDER_LIFETIME_MS / 2;
      while (!isDone() && (yield* now()) < until) {
        yield* Effect.sleep(READ_BACK_INTERVAL_MS);
        const report = yield* engine.client.report();
        engine.update(report, yield* now());
      }
    });
    return Effect.ignore(Effect.andThen(engine.client.order({ action, model, fencingToken }), readBack));
  }

  #log({ engine, action, model }: IPlannedOrder, fencingToken: number): void {
    this.#opts.decisions.write({
      kind: DecisionKind.Placement,
      programId: "",
      step: 0,
      choice: engine.id,
      reason: `${action} ${model}, fencing token ${fencingToken}`,
      preset: this.#opts.configuration.presetName,
      candidates: [],
    });
  }
}
