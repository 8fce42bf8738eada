/** Labels of metrics whose number of values must stay bounded. */

/** Label of all values beyond the maximum. */
export const OTHER_LABEL = "(other)";

/** Gives the first values their own label, and one label to all others, so that the number of series stays bounded. */
export class BoundedLabel {
  readonly #maxValues: number;
  readonly #values = new Set<string>();

  constructor(maxValues: number) {
    this.#maxValues = maxValues;
  }

  labelOf(value: string): string {
    if (this.#values.has(value)) return value;
    if (this.#values.size >= this.#maxValues) return OTHER_LABEL;
    this.#values.add(value);
    return value;
  }
}
