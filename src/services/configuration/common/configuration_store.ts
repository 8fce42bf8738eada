/** The configuration in force on this instance, from the log service or from peers, never an older one. */
import type { Scope } from "effect";
import { Effect } from "effect";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { Configuration, Preset } from "../../settings/common/gen/configuration.ts";
import { parseConfiguration } from "../../settings/common/validation.ts";
import type { ILogService } from "../../log/common/log_service.ts";
import { CONFIGURATION_STREAM } from "../../log/common/log_service.ts";
import type { ILogger } from "../../logging/common/logger.ts";
import type { IConfigurationSource } from "./configuration_source.ts";
import type { IAcceptedConfiguration } from "./publication.ts";
import { encodePublication, judge, NO_VERSION, Verdict } from "./publication.ts";

const READ_LIMIT = 100;
const READ_WAIT_MS = 1000;
const RETRY_MS = 300;

/** Preset that applies until a configuration has been read. */
const INITIAL_PRESET: Preset = {
  cacheWeight: 1,
  stayMargin: 0.2,
  maxQueueMs: 20_000,
  engineOvercommit: 2,
  ageingMs: 30_000,
  retryShare: 0.2,
  keepKvMs: 60_000,
  admitNewPrograms: true,
};

export class ConfigurationStore implements IConfigurationSource {
  readonly #log: ILogService;
  readonly #logger: ILogger;
  readonly #onDidChange = new Emitter<IAcceptedConfiguration>();
  readonly onDidChange: Event<IAcceptedConfiguration> = this.#onDidChange.event;
  /** The newest version that any source has shown. */
  #current: IAcceptedConfiguration | undefined;
  /** Where the judgement of the stream stands; may trail what peers have told. */
  #judged: IAcceptedConfiguration | undefined;
  #next = 0;

  constructor(log: ILogService, logger: ILogger) {
    this.#log = log;
    this.#logger = logger;
  }

  get version(): number {
    return this.#current?.version ?? NO_VERSION;
  }

  get accepted(): IAcceptedConfiguration | undefined {
    return this.#current;
  }

  get current(): Configuration | undefined {
    return this.#current?.configuration;
  }

  get preset(): Preset {
    const cfg = this.current;
    return cfg === undefined ? INITIAL_PRESET : cfg.presets[cfg.activePreset];
  }

  get presetName(): string {
    return this.current?.activePreset ?? "initial";
  }

  /** Follows the stream until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.asVoid(Effect.forkScoped(this.#follow()));
  }

  /** Takes over a configuration that a peer has accepted. */
  learn(version: number, document: string): void {
    const configuration = parseConfiguration(document, "configuration of a peer");
    this.#adopt({ version, author: "peer", document, configuration });
  }

  /** Repeats the configuration in the log, so that it outlives the log's retention. */
  checkpoint(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const current = this.#current;
      if (current === undefined) return Effect.void;
      const { author, document, version } = current;
      const data = encodePublication({ base: NO_VERSION, author, document, checkpointOf: version });
      return Effect.ignore(this.#log.append(CONFIGURATION_STREAM, data));
    });
  }

  #follow(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let isFromStart = true;
      while (true) {
        const read = this.#log.read(CONFIGURATION_STREAM, {
          from: this.#next,
          limit: READ_LIMIT,
          waitMs: READ_WAIT_MS,
        });
        const page = yield* Effect.catch(read, () => Effect.succeed(undefined));
        if (page === undefined) {
          yield* Effect.sleep(RETRY_MS);
          continue;
        }
        if (page.oldest > this.#next) isFromStart = false;
        for (const entry of page.entries) {
          const { verdict, detail, current } = judge(entry, { current: this.#judged, isFromStart });
          this.#judged = current;
          if (verdict === Verdict.Accepted && current !== undefined) this.#adopt(current);
          if (verdict !== Verdict.Repeat) {
            this.#logger.info("configuration", { offset: entry.offset, verdict, detail });
          }
        }
        this.#next = page.next;
      }
    });
  }

  #adopt(accepted: IAcceptedConfiguration): void {
    if (accepted.version <= this.version) return;
    this.#current = accepted;
    this.#onDidChange.fire(accepted);
  }
}
