/* fuzz_frame.c -- libFuzzer: frame decoder and unpacking of messages */
#include "wg_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    wgw_frame frame;
    if (wgw_frame_parse(data, size, 0, &frame) == WGW_PARSE_COMPLETE) {
        ProtobufCMessage* messages[] = {
            (ProtobufCMessage*)wgpb__hello__unpack(NULL, frame.size, frame.payload),
            (ProtobufCMessage*)wgpb__quorum__unpack(NULL, frame.size, frame.payload),
            (ProtobufCMessage*)wgpb__report__unpack(NULL, frame.size, frame.payload),
            (ProtobufCMessage*)wgpb__reply__unpack(NULL, frame.size, frame.payload),
        };
        for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
            if (messages[i]) {
                protobuf_c_message_free_unpacked(messages[i], NULL);
            }
        }
    }
    return 0;
}
