import bunyan from 'bunyan';

type Fields = Readonly<Record<string, unknown>>;

/** Log records of one part: a fixed prefix, a stable event code, one short sentence. */
export class PartLogger {
  readonly #logger: bunyan;
  readonly #prefix: string;

  private constructor(logger: bunyan, part: string) {
    this.#logger = logger;
    this.#prefix = `[${part}]`;
  }

  /**
   * @param instance - name of the instance
   * @param level - least level of records
   * @param stream - where records go; standard output by default
   * @returns a maker of loggers, one for each part
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

  /** Records an ordinary event. */
  info(event: string, text: string, fields: Fields = {}): void {
    this.#logger.info({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Records something an operator should look at. */
  warn(event: string, text: string, fields: Fields = {}): void {
    this.#logger.warn({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Records a fault. */
  error(event: string, text: string, fields: Fields = {}): void {
    this.#logger.error({ event, ...fields }, `${this.#prefix} ${text}`);
  }

  /** Records a detail. */
  debug(event: string, text: string, fields: Fields = {}): void {
    this.#logger.debug({ event, ...fields }, `${this.#prefix} ${text}`);
  }
}
