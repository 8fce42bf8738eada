/** Counters, gauges and latency histograms, rendered in the Prometheus text format. */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";

const MAX_RECORDABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99];

/** Label names and values that identify one series. */
export type Labels = Readonly<Record<string, string>>;

interface IGauge {
  readonly help: string;
  readonly read: () => number;
}

/** Metrics of one instance. Metric names are given without the common prefix. */
export class Metrics {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #histograms = new Map<string, Map<string, Histogram>>();
  readonly #gauges = new Map<string, IGauge>();

  incrementCounter(name: string, labels: Labels = {}, by = 1): void {
    const series = this.#counters.get(name) ?? new Map<string, number>();
    const key = renderLabels(labels);
    series.set(key, (series.get(key) ?? 0) + by);
    this.#counters.set(name, series);
  }

  /** Records a duration in ms. */
  recordDuration(name: string, durationMs: number, labels: Labels = {}): void {
    const series = this.#histograms.get(name) ?? new Map<string, Histogram>();
    const key = renderLabels(labels);
    const histogram = series.get(key) ??
      build({ highestTrackableValue: MAX_RECORDABLE_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
    histogram.recordValue(Math.min(MAX_RECORDABLE_MS, Math.max(0, Math.round(durationMs))));
    series.set(key, histogram);
    this.#histograms.set(name, series);
  }

  /** Registers a gauge whose value is read when the metrics are rendered. */
  registerGauge(name: string, gauge: IGauge): void {
    this.#gauges.set(name, gauge);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    return [...this.#renderCounters(), ...this.#renderGauges(), ...this.#renderHistograms(), ""].join("\n");
  }

  #renderCounters(): string[] {
    return [...this.#counters].flatMap(([name, series]) => {
      const fullName = `ragwortcleat_${name}_total`;
      return [
        `# TYPE ${fullName} counter`,
        ...[...series].map(([labels, value]) => `${fullName}${renderLabelSet(labels)} ${value}`),
      ];
    });
  }

  #renderGauges(): string[] {
    return [...this.#gauges].flatMap(([name, { help, read }]) => {
      const fullName = `ragwortcleat_${name}`;
      return [`# HELP ${fullName} ${help}`, `# TYPE ${fullName} gauge`, `${fullName} ${read()}`];
    });
  }

  #renderHistograms(): string[] {
    return [...this.#histograms].flatMap(([name, series]) => {
      const fullName = `ragwortcleat_${name}_ms`;
      return [
        `# TYPE ${fullName} summary`,
        ...[...series].flatMap(([labels, histogram]) => renderSummary(fullName, { labels, histogram })),
      ];
    });
  }
}

function renderSummary(
  fullName: string,
  { labels, histogram }: { labels: string; histogram: Histogram },
): string[] {
  const quantiles = QUANTILES.map((quantile) => {
    const all = [labels, `quantile="${quantile}"`].filter((part) => part !== "").join(",");
    return `${fullName}{${all}} ${histogram.getValueAtPercentile(quantile * 100)}`;
  });
  const sum = histogram.mean * histogram.totalCount;
  return [
    ...quantiles,
    `${fullName}_sum${renderLabelSet(labels)} ${Number.isFinite(sum) ? sum : 0}`,
    `${fullName}_count${renderLabelSet(labels)} ${histogram.totalCount}`,
  ];
}

function renderLabels(labels: Labels): string {
  return Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(",");
}

function renderLabelSet(labels: string): string {
  return labels === "" ? "" : `{${labels}}`;
}
