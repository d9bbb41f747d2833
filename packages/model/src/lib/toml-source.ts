import { getStaticTOMLValue, parseTOML } from 'toml-eslint-parser';
import type { AST } from 'toml-eslint-parser';
import type { Finding } from './finding.js';

/** Position in the text; both numbers start at 1. */
interface Position {
  readonly line: number;
  readonly column: number;
}

type KeyPath = readonly (string | number)[];

const pathKey = (path: KeyPath): string => JSON.stringify(path.map(String));

/** A parsed TOML text with the position of each key. */
export class TomlSource {
  /** The parsed text; empty if it has syntax errors. */
  readonly value: Readonly<Record<string, unknown>>;
  readonly syntaxFindings: readonly Finding[];
  readonly #source: string;
  /** Position of each key, by the JSON of its path. */
  readonly #positions = new Map<string, Position>();

  /**
   * @param source - file name, for findings
   * @param text - the TOML text
   */
  constructor(source: string, text: string) {
    this.#source = source;
    try {
      const program = parseTOML(text);
      this.value = getStaticTOMLValue(program);
      this.syntaxFindings = [];
      program.body[0].body.forEach((node) => this.#visit(node, []));
    } catch (error) {
      const { message, lineNumber, column } = error as Error & Record<string, number>;
      this.value = {};
      this.syntaxFindings = [
        {
          source,
          line: lineNumber ?? 0,
          column: (column ?? -1) + 1,
          object: 'text',
          rule: 'toml-syntax',
          message,
          mend: 'write it as TOML 1.0 asks',
        },
      ];
    }
  }

  /**
   * Adds the position of a key to a finding. If the key is not in the text, this is the position of its
   * closest parent that is.
   *
   * @param path - path of the key from the root
   * @param rest - the finding without its position
   * @returns the finding with its position
   */
  findingAt(path: KeyPath, rest: Omit<Finding, 'source' | 'line' | 'column'>): Finding {
    for (let { length } = path; length >= 0; length -= 1) {
      const position = this.#positions.get(pathKey(path.slice(0, length)));
      if (position) return { source: this.#source, ...position, ...rest };
    }
    return { source: this.#source, line: 1, column: 1, ...rest };
  }

  #recordPosition(path: KeyPath, node: AST.TOMLNode): void {
    const key = pathKey(path);
    const { line, column } = node.loc.start;
    if (!this.#positions.has(key)) this.#positions.set(key, { line, column: column + 1 });
  }

  #visit(node: AST.TOMLTable | AST.TOMLKeyValue, base: KeyPath): void {
    if (node.type === 'TOMLTable') {
      const { resolvedKey } = node;
      resolvedKey.forEach((_, index) => {
        this.#recordPosition(resolvedKey.slice(0, index + 1), node.key);
      });
      node.body.forEach((child) => this.#visit(child, resolvedKey));
      return;
    }
    let path = base;
    node.key.keys.forEach((part) => {
      path = [...path, part.type === 'TOMLBare' ? part.name : part.value];
      this.#recordPosition(path, part);
    });
    this.#visitContent(node.value, path);
  }

  #visitContent(node: AST.TOMLContentNode, path: KeyPath): void {
    if (node.type === 'TOMLInlineTable') {
      node.body.forEach((child) => this.#visit(child, path));
    }
    if (node.type === 'TOMLArray') {
      node.elements.forEach((element, index) => {
        this.#recordPosition([...path, index], element);
        this.#visitContent(element, [...path, index]);
      });
    }
  }
}
