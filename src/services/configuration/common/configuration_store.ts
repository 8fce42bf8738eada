/**
 * Keeps the newest configuration that this instance has read from the log service or received from a
 * peer. The version never decreases.
 */
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
import { encodePublication, evaluatePublication, NO_VERSION, PublicationVerdict } from "./publication.ts";

const READ_LIMIT = 100;
const READ_WAIT_MS = 1000;
const RETRY_DELAY_MS = 300;

/** Preset used until a configuration has been read. */
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
  /** Newest configuration from the log or a peer. */
  #current: IAcceptedConfiguration | undefined;
  /** Configuration in force at the log position read so far; may be older than one received from a peer. */
  #currentInLog: IAcceptedConfiguration | undefined;
  #nextOffset = 0;

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

  /** Follows the configuration stream until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.asVoid(Effect.forkScoped(this.#follow()));
  }

  /** Applies a configuration that a peer has accepted, if it is newer. */
  applyPeerConfiguration(version: number, document: string): void {
    const configuration = parseConfiguration(document, "configuration received from a peer");
    this.#applyIfNewer({ version, author: "peer", document, configuration });
  }

  /** Appends the configuration to the log again, so that it outlives the log's retention. */
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
          from: this.#nextOffset,
          limit: READ_LIMIT,
          waitMs: READ_WAIT_MS,
        });
        const page = yield* Effect.catch(read, () => Effect.succeed(undefined));
        if (page === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        if (page.oldest > this.#nextOffset) isFromStart = false;
        for (const entry of page.entries) {
          const { verdict, detail, current } = evaluatePublication(entry, {
            current: this.#currentInLog,
            isFromStart,
          });
          this.#currentInLog = current;
          if (verdict === PublicationVerdict.Accepted && current !== undefined) this.#applyIfNewer(current);
          if (verdict !== PublicationVerdict.RedundantCheckpoint) {
            this.#logger.info("configuration", { offset: entry.offset, verdict, detail });
          }
        }
        this.#nextOffset = page.next;
      }
    });
  }

  #applyIfNewer(accepted: IAcceptedConfiguration): void {
    if (accepted.version <= this.version) return;
    this.#current = accepted;
    this.#onDidChange.fire(accepted);
  }
}
