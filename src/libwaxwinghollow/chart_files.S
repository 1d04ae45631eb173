/*
 * The files of charts/ are linked into the binary because the hosts that run
 * it have no disk. Each use of the macro adds one entry to wwh_chart_files:
 * name, text, size in bytes.
 */

	.macro chart name
	.section .rodata
1:	.asciz "\name"
2:	.incbin "charts/\name\().json"
3:	.byte 0
	.section .data.rel.ro, "aw"
	.balign 8
	.quad 1b
	.quad 2b
	.quad 3b - 2b
	.endm

	.section .data.rel.ro, "aw"
	.balign 8
	.global wwh_chart_files
wwh_chart_files:
	chart entry
	chart request
	chart minion
	chart worker
	chart wave
	chart move
	chart job
	chart task
	.global wwh_chart_files_end
wwh_chart_files_end:
	.quad 0

	.section .note.GNU-stack, "", %progbits
