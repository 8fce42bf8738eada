/** Commands of the command-line tool. Each returns its exit code. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { userInfo } from "node:os";
import { applyEdits, modify } from "jsonc-parser";
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
import { HttpClient } from "../../base/node/http_client.ts";
import { PublicationVerdict } from "../../services/configuration/common/publication.ts";
import { HttpLogService } from "../../services/log/node/http_log_service.ts";
import { parseConfiguration } from "../../services/settings/common/validation.ts";
import { diffConfigurations } from "../common/document_diff.ts";
import { ExitCode } from "../common/exit_code.ts";
import { renderFields, renderTable } from "../common/output.ts";
import { InstanceClient, readOperatorKey } from "./instance_client.ts";
import { Publisher } from "./publisher.ts";

const EDIT_FORMAT = { formattingOptions: { tabSize: 2, insertSpaces: true } };

/** Options that all commands share. */
export interface ICommonOptions {
  readonly instance: string;
  readonly log: string;
  readonly key?: string;
  readonly json?: boolean;
}

interface IStatus extends Record<string, unknown> {
  readonly view: { readonly number: number; readonly members: readonly Record<string, unknown>[] };
  readonly configuration_version: number;
  readonly preset: string;
}

type Rows = readonly Record<string, unknown>[];

export class Commands {
  readonly #opts: ICommonOptions;
  readonly #http = new HttpClient();

  constructor(opts: ICommonOptions) {
    this.#opts = opts;
  }

  dispose(): void {
    this.#http.dispose();
  }

  validate(file: string): ExitCode {
    const cfg = parseConfiguration(readText(file), file);
    this.#print({ file, deployment: cfg.deployment, preset: cfg.activePreset, valid: true });
    return ExitCode.Ok;
  }

  diff(file: string): Promise<ExitCode> {
    const proposed = parseConfiguration(readText(file), file);
    return this.#run(Effect.map(this.#publisher.current(), (current) => {
      if (current === undefined) {
        this.#print({ version: "none", file });
        return ExitCode.Ok;
      }
      this.#printRows([...diffConfigurations(current.configuration, proposed)] as unknown as Rows);
      return ExitCode.Ok;
    }));
  }

  publish(file: string, base: number | undefined): Promise<ExitCode> {
    const document = readText(file);
    parseConfiguration(document, file);
    return this.#publish(document, base);
  }

  /** Publishes the configuration in force with a different active preset. */
  usePreset(name: string): Promise<ExitCode> {
    return this.#run(Effect.flatMap(this.#publisher.current(), (current) =>
      Effect.promise(() => {
        if (current === undefined) throw new Error("no configuration is in force");
        const document = applyEdits(
          current.document,
          modify(current.document, ["activePreset"], name, EDIT_FORMAT),
        );
        parseConfiguration(document, "the edited configuration");
        return this.#publish(document, current.version);
      })));
  }

  showConfigurationStatus(): Promise<ExitCode> {
    return this.#run(Effect.map(this.#instance.get<IStatus>("/operator/v1/status"), (status) => {
      const { configuration_version, preset } = status;
      this.#print({ instance: status.instance, configuration_version, preset });
      return ExitCode.Ok;
    }));
  }

  listPresets(): Promise<ExitCode> {
    return this.#run(Effect.map(this.#publisher.current(), (current) => {
      const presets = Object.entries(current?.configuration.presets ?? {});
      const active = current?.configuration.activePreset;
      this.#printRows(presets.map(([name, preset]) => ({ name, in_force: name === active, ...preset })));
      return ExitCode.Ok;
    }));
  }

  listPrograms(): Promise<ExitCode> {
    return this.#show<{ programs: Rows }>(
      "/operator/v1/programs",
      ({ programs }) => this.#printRows(programs),
    );
  }

  showProgram(id: string): Promise<ExitCode> {
    const path = `/operator/v1/programs/${encodeURIComponent(id)}`;
    return this.#show<Record<string, unknown>>(path, (program) => this.#print(program));
  }

  endProgram(id: string): Promise<ExitCode> {
    const ended = this.#instance.delete<Record<string, unknown>>(
      `/operator/v1/programs/${encodeURIComponent(id)}`,
    );
    return this.#run(Effect.map(ended, (response) => {
      this.#print(response);
      return ExitCode.Ok;
    }));
  }

  listInstances(): Promise<ExitCode> {
    return this.#show<IStatus>("/operator/v1/status", ({ view }) => this.#printRows(view.members));
  }

  drainInstance(): Promise<ExitCode> {
    return this.#run(
      Effect.map(this.#instance.post<Record<string, unknown>>("/operator/v1/drain"), (response) => {
        this.#print(response);
        return ExitCode.Ok;
      }),
    );
  }

  listBackends(): Promise<ExitCode> {
    return this.#show<{ engines: Rows; services: Rows }>("/operator/v1/backends", (backends) => {
      if (this.#opts.json) return this.#print({ ...backends });
      console.log(`${renderTable(backends.engines)}\n\n${renderTable(backends.services)}`);
    });
  }

  showDecisions(follow: boolean): Promise<ExitCode> {
    const print = (line: string) => console.log(this.#opts.json ? line : renderDecision(line));
    const lines = this.#instance.lines(`/operator/v1/decisions?follow=${follow}`, print);
    return this.#run(Effect.as(lines, ExitCode.Ok));
  }

  showMetrics(): Promise<ExitCode> {
    return this.#run(Effect.map(this.#instance.text("/metrics"), (text) => {
      if (this.#opts.json) console.log(JSON.stringify(parseMetrics(text), undefined, 2));
      else console.log(text.trimEnd());
      return ExitCode.Ok;
    }));
  }

  get #instance(): InstanceClient {
    return new InstanceClient(this.#http, { url: this.#opts.instance, key: readOperatorKey(this.#opts.key) });
  }

  get #publisher(): Publisher {
    return new Publisher(new HttpLogService(this.#http, this.#opts.log));
  }

  #publish(document: string, base: number | undefined): Promise<ExitCode> {
    const published = this.#publisher.publish(document, { author: userInfo().username, base });
    return this.#run(Effect.map(published, ({ verdict, detail, offset, current }) => {
      const preset = current?.configuration.activePreset;
      this.#print({ verdict, offset, version_in_force: current?.version, preset, detail });
      return verdict === PublicationVerdict.Accepted ? ExitCode.Ok : ExitCode.Rejected;
    }));
  }

  #show<T>(path: string, print: (body: T) => void): Promise<ExitCode> {
    return this.#run(Effect.map(this.#instance.get<T>(path), (body) => {
      print(body);
      return ExitCode.Ok;
    }));
  }

  #run(work: Effect.Effect<ExitCode, Error>): Promise<ExitCode> {
    return Effect.runPromise(Effect.catch(work, (err) =>
      Effect.sync(() => {
        console.error(`ragwortcleat: ${err.message}`);
        return ExitCode.Failed;
      })));
  }

  #print(fields: Record<string, unknown>): void {
    console.log(this.#opts.json ? JSON.stringify(fields, undefined, 2) : renderFields(fields));
  }

  #printRows(rows: Rows): void {
    console.log(this.#opts.json ? JSON.stringify(rows, undefined, 2) : renderTable(rows));
  }
}

function readText(file: string): string {
  return readFileSync(file === "-" ? 0 : file, "utf8");
}

function renderDecision(line: string): string {
  const { atMs, kind, programId, step, choice, reason, preset } = JSON.parse(line) as Record<string, unknown>;
  const time = new Date(Number(atMs)).toISOString();
  return `${time}  ${kind}  ${programId}#${step}  ${choice === "" ? "-" : choice}  ${reason}  [${preset}]`;
}

function parseMetrics(text: string): Record<string, number> {
  const lines = text.split("\n").filter((line) => line !== "" && !line.startsWith("#"));
  return Object.fromEntries(lines.map((line) => {
    const separator = line.lastIndexOf(" ");
    return [line.slice(0, separator), Number(line.slice(separator + 1))];
  }));
}

/** Runs a command and exits with its code. Errors in the input are printed and exit with {@link ExitCode.BadInput}. */
export async function runAndExit(
  commands: Commands,
  run: () => Promise<ExitCode> | ExitCode,
): Promise<never> {
  try {
    const code = await run();
    commands.dispose();
    process.exit(code);
  } catch (err) {
    console.error(toError(err).message);
    process.exit(ExitCode.BadInput);
  }
}
