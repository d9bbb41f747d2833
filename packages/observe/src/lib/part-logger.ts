import bunyan from 'bunyan';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Logger of one part of the system. A record has the part's name as a prefix, a stable event code and a
 * short sentence.
 */
export class PartLogger {
  readonly #logger: bunyan;
  readonly #prefix: string;

  private constructor(logger: bunyan, part: string) {
    this.#logger = logger;
    this.#prefix = `[${part}]`;
  }

  /**
   * @param instance - name of the instance
   * @param level - lowest level of the records to write
   * @param stream - destination of the records; standard output by default
   * @returns a function that creates the logger of a part by its name
   */
  static forInstance(
    instance: string,
    level: bunyan.LogLevelString,
    stream: Pick<NodeJS.WritableStream, 'write'> = process.stdout,
  ): (part: string) => PartLogger {
    const root = bunyan.createLogger({
      name: 'chervilseamd',
      instance,
      level,
      stream: stream as NodeJS.WritableStream,
    });
    return (part) => new PartLogger(root.child({ part }), part);
  }

  /** Logs an event of normal operation. */
  info(event: string, text: string, fields: Fields = {}): void {
    this.#logger.info({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Logs an event that an operator should look at. */
  warn(event: string, text: string, fields: Fields = {}): void {
    this.#logger.warn({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Logs a fault. */
  error(event: string, text: string, fields: Fields = {}): void {
    this.#logger.error({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Logs a detail. */
  debug(event: string, text: string, fields: Fields = {}): void {
    this.#logger.debug({ event, ...fields }, `${this.#prefix} ${text}`);
  }
}
