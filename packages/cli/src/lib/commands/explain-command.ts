import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

type Row = Readonly<Record<string, unknown>>;

/** Paths of an instance's debug pages, by the kind of decision to explain. */
const pages: Readonly<Record<string, (name: string) => string>> = {
  request: (trace) => `debug/decisions?trace=${encodeURIComponent(trace)}`,
  placement: (model) => `debug/placement?model=${encodeURIComponent(model)}`,
  move: (id) => `debug/moves?id=${encodeURIComponent(id)}`,
};

/** `chervilseam explain request|placement|move NAME`: shows decisions with their reasons. */
export class ExplainCommand extends InstanceCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Shows the decisions about a request, a placement or a move, with their reasons.',
    examples: [
      ['A request, by its trace id', '$0 explain request 0123456789abcdef0123456789abcdef'],
      ['The engines of a model, with the reasons', '$0 explain placement die-assistant'],
      ['A move, by its id', '$0 explain move instance-1-0a1b2c.d7'],
    ],
  });

  /** Kind of decision: a key of `pages`. */
  what = Option.String();
  /** Trace id, name of a model or id of a move, by `what`. */
  name = Option.String({ required: false });

  protected override async run(): Promise<number> {
    if (!Object.hasOwn(pages, this.what)) {
      const known = Object.keys(pages).join(', ');
      this.context.stderr.write(`chervilseam: can explain only ${known}\n`);
      return ExitCode.badInput;
    }
    const answer = await this.callInstance<Row | Row[]>('GET', pages[this.what](this.name ?? ''));
    if (!Array.isArray(answer)) {
      this.context.stdout.write(`${JSON.stringify(answer, null, 2)}\n`);
      return ExitCode.ok;
    }
    this.print(answer);
    return answer.length > 0 ? ExitCode.ok : ExitCode.notFound;
  }
}
