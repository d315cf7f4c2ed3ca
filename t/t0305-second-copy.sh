#!/bin/sh
# An owner that crashed has left one adapter in two slots of its engine.  Requests
# that it sent may still use either copy, so the next owner must not load into the
# second slot.  Meanwhile it must load into the other slots, and no request may fail
# with a load error.
. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1

encoded () {
	printf %s "$1" | base64 -w 0
}
copy='{"state":"resident","epoch":1,"adapter":"note-01@1"}'
empty='{"state":"empty","epoch":1}'
record='{"owner":"i9","incarnation":9,"epoch":1,"sequence":1,"hold":0,"held":[],
	"slots":['$copy,$copy,$empty,$empty']}'
curl -sS -o /dev/null "http://$(address kv)/v3/kv/put" \
	-d "{\"key\":\"$(encoded hc/endpoint/assist-1)\",
		\"value\":\"$(encoded "$record")\"}" || fail 'the endpoint record could not be written'

start_instance 1 north-a
endpoints=$(engine assist-1 "$(port engines)" north-a)
commit_document
wait_for in_force 1 1
wait_for grep -q '"endpoint taken","endpoint":"assist-1"' "$work/owner1.out"

code_of () {
	ask 1 clerk-token "{\"model\":\"$1\",\"prompt\":\"p\",\"max_tokens\":1}" \
		-o /dev/null -w '%{http_code}\n'
}
wait_for eval 'test "$(code_of note-02@1)" = 200'
expect 'further adapters are loaded into the other slots' eval \
	'code_of note-03@1; code_of note-02@1' <<\END
200
200
END
not_given () {
	grep -c '"event":"order not given"' "$work/owner1.out"
}
expect 'the owner tried the slot once' not_given <<\END
1
END
finish
