/** Numbers of an era are below this; 2 to the power of 40, so that numbers of 8,191 eras stay exact. */
const NUMBERS_PER_ERA = 2 ** 40;
/** Greatest era whose numbers are exact. */
const ERA_MAX = Number.MAX_SAFE_INTEGER / NUMBERS_PER_ERA - 1;

/**
 * Numbers that the store gives out (offsets of its log, generations of its group), ordered by the era of the store first.
 * The store starts a new era when it comes back from a copy: then it gives out numbers of the earlier era again. In era 0
 * such a number is that of the store.
 */
export const eraNumber = {
  /** @returns whether `era` is one that numbers can be ordered by */
  isEra(era: number): boolean {
    return Number.isInteger(era) && era >= 0 && era <= ERA_MAX;
  },

  /**
   * @param era - era of the store
   * @param value - number that the store gave out in that era
   * @returns a number that is greater than every one of an earlier era
   */
  of(era: number, value: number): number {
    return era * NUMBERS_PER_ERA + value;
  },

  /** @returns the era of a number */
  eraOf(number: number): number {
    return Math.floor(number / NUMBERS_PER_ERA);
  },

  /** @returns whether a number is of a later era than an earlier one; not while either is unknown */
  isNewEra(earlier: number | undefined, later: number | undefined): boolean {
    if (earlier === undefined || later === undefined) return false;
    return eraNumber.eraOf(later) > eraNumber.eraOf(earlier);
  },

  /** @returns the number that the store gave out */
  numberIn(number: number): number {
    return number % NUMBERS_PER_ERA;
  },

  /** @returns a number as log lines show it: as it is in era 0, otherwise as `ERA:VALUE` */
  shown(number: number | undefined): number | string | undefined {
    if (number === undefined) return undefined;
    const era = eraNumber.eraOf(number);
    return era > 0 ? `${era}:${eraNumber.numberIn(number)}` : number;
  },
};
